"""Stand-ins and a launcher for the cases of this review."""
