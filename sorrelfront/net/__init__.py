"""Socket I/O, message framing and resource budgets, shared by fronts, upstreams and sources."""
