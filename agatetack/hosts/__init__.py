"""Track the hosts and targets that are listed or registered."""
