"""Measure balancing policies in virtual time, with the product's own code."""
