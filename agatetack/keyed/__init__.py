"""Replicate the keyed topics of the metadata store to each host."""
