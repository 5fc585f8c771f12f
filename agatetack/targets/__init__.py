"""Manage targets and their connections, and call them over HTTP."""
