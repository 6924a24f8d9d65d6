"""The agent's program on a platform, and the adapter to the simulator's line protocol."""
