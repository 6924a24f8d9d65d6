"""The daemon: one long-lived process that supervises a fleet of instances."""
