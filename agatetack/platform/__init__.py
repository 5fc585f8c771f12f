"""Adapter between the load balancer and the users' platform.

It only decodes and encodes the platform's formats; all decisions are made
elsewhere.
"""
