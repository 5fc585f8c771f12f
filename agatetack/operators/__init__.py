"""Answer operators: the administration API and the status page."""
