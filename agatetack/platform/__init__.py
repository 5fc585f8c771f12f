"""Translate between the product and the users' platform; decide nothing."""
