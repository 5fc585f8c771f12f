"""Pass requests to hosts that reach targets which this one can't reach."""
