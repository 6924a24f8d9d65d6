"""Sources of server lists; each converts what it receives into updates."""
