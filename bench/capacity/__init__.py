"""Reckon what each role of a gateway costs at the size designed for."""
