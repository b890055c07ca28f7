"""Adapters to the systems outside, one file for each protocol."""
