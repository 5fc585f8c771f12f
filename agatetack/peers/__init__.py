"""Exchange state with the other hosts of the fleet."""
