"""Upstream protocols: run attempts on servers, report their outcomes and pool connections."""
