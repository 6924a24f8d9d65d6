"""Decisions, without I/O, clock or randomness of their own: the balancer's own in `balancer`."""

from sorrelfront.decisions.balancer import Balancer

__all__ = ["Balancer"]
