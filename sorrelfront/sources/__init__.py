"""Where lists of servers come from: each turns what it hears into updates."""
