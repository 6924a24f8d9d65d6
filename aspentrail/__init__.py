"""Decisions of a client-side load balancer; see aspentrail.interface and aspentrail.rules."""

from aspentrail.rules import Balancer

__all__ = ["Balancer"]
