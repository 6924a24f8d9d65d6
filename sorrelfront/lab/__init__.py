"""Scripted servers, registries and clients, with books of what really ran."""
