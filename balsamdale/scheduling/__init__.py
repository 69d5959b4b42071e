"""Decisions under load: pure modules that do no I/O and read no clock."""
