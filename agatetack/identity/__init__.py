"""Identify client accounts by API keys, where the configuration has any."""
