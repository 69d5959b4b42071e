"""Measures scheduling policies with fake engines on virtual time."""
