"""Decision logic of the gateway, free of I/O: callers pass in data and time."""
