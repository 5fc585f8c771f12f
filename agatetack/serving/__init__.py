"""Serve each request as the class of its route says."""
