"""Decisions that the agents of a fleet make together.

Nothing here does I/O or reads a clock, and none of it runs on the platform.
"""
