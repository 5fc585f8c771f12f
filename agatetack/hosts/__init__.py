"""Know the hosts and targets that are listed."""
