"""Planned stops of a fleet of real processes, in seeded series."""
