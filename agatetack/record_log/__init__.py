"""Use the append-only log that keeps routes, claims and deferred work."""
