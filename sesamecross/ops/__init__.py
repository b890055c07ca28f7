"""Decisions: deterministic state machines without I/O."""
