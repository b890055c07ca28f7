"""Domain-independent helpers."""
