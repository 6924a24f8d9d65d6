"""Protocol front ends: accept connections, read requests into calls, write answers in request order."""
