"""Serve callers over HTTP."""
