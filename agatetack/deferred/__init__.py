"""Keep requests that may wait, run them later and keep their results."""
