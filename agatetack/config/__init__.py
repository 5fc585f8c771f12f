"""Compute the accepted routes by folding the configuration stream."""
