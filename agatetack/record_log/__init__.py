"""Access the append-only log of routes, claims and deferred work."""
