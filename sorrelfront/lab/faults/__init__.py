"""Fault injection into one process: LD_PRELOAD shims between it and its C library."""
