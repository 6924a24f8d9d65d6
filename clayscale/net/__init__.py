"""What touches sockets: HTTP, the client side, the backend side, discovery and their budgets."""
