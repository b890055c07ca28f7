"""Authenticated msgpack streams between the system's processes."""
