"""Run each request as its route's request class requires."""
