"""Helpers of the scripts of the second review."""
