"""The platform's program and the simulator's adapter."""
