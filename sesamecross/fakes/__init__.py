"""Fakes of the platform, upstreams and callers, for the demo and tests."""
