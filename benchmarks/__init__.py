"""Paired measurements and long forms of proofs; never in CI beyond a smoke run."""
