"""Limit, queue and refuse requests before they reach a target."""
