"""Start, become ready, drain and stop a host."""
