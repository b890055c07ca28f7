"""Decisions of the gateway: pure, fed with records and clock readings."""
