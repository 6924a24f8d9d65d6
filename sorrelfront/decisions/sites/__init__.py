"""Routing between partner sites: the terms under which one lends to another, and the resulting routes.

No I/O, clocks or keys: signatures are made and verified by functions that are passed in.
"""
