"""Parses and validates settings and declarations."""
