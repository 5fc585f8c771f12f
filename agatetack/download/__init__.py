"""Deliver large answers complete: verified, and resumed if cut off."""
