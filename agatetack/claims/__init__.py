"""Run never-repeated requests at most once, by the order of the log."""
