"""Limit the requests of each client account over the whole fleet."""
