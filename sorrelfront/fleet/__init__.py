"""Transport of messages between the members of a fleet on different hosts.

It makes no decisions, and is off unless the configuration has a [fleet] table.
"""
