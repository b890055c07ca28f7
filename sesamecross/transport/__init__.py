"""Authenticated streams of msgpack messages between the system's processes."""
