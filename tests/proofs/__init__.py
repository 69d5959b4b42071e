"""Proofs of invariants; each fails under the mutations that it names."""
