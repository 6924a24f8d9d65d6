"""Faults of one process's system calls, put between it and its C library."""
