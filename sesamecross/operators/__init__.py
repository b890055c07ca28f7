"""Implementation of the operators' command line."""
