"""Choose the target for each attempt."""
