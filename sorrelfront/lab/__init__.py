"""Scripted servers, registries and clients, with a ledger of the requests that really ran."""
