"""Store deferred requests, run them later and store their results."""
