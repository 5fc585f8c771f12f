"""Stand in for the platform and the targets in tests, demo and bench."""
