"""Measures policies: real decisions on fake engines in virtual time."""
