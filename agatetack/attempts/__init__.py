"""Run attempts: retries, hedges, their budgets and deadlines."""
