"""Decision logic without I/O, a clock or randomness of its own; `balancer` holds the load balancer."""

from sorrelfront.decisions.balancer import Balancer

__all__ = ["Balancer"]
