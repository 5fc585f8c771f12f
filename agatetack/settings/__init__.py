"""Read, check and hold a host's settings."""
