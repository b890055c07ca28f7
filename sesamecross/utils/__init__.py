"""Helpers without knowledge of the domain."""
