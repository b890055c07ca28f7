"""Lifecycle, supervision, logs and metrics of a process."""
