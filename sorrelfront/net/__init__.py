"""Bytes: what fronts, upstreams and sources share of wires, framing and budgets."""
