"""Measures the policy: real decisions, fake engines, virtual time."""
