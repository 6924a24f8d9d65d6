"""Paired benchmarks and long property test runs. CI only runs a smoke test of them."""
