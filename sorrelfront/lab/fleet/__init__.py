"""Simulate fleets in memory: the decisions of many members on a virtual network, over many seeds."""
