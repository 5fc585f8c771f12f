"""Carry large answers whole: verified, and resumed when cut."""
