"""Library behind the operators' command line."""
