"""Measure targets within the budget that operators set."""
