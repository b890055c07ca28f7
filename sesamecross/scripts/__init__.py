"""Entry points of the programs."""
