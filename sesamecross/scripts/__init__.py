"""Thin command-line mains."""
