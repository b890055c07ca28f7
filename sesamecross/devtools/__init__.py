"""Loopback deployments, load generation and benchmarks for development."""
