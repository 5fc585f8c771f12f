"""Hold connections to targets and call them over HTTP."""
