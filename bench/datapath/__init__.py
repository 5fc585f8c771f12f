"""Measure what the gateway adds to a request, against relays and nothing."""
