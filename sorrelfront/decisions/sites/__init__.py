"""What partner sites decide of each other: under which terms one lends to another, and which routes follow.
No I/O, no clock, no keys: signatures are made and checked by functions that are handed in."""
