"""Life cycle, supervision, logs and metrics of a process."""
