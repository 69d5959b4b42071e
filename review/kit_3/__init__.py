"""Small deployment for the cases of the third review."""
