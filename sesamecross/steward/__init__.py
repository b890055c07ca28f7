"""The steward process: log replay, membership, claims and placement."""
