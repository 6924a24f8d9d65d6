"""One long-lived process that runs a fleet of instances."""
