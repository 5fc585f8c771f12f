"""Run requests of class ONCE at most once, as decided by the log's order."""
