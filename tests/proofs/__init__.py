"""Proofs of what must always hold, each seen failing under a mutation."""
