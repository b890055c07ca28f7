"""Adapters to external systems, one module for each protocol."""
