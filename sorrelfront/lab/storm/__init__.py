"""Several daemons, faults between them, and a verdict from outside books."""
