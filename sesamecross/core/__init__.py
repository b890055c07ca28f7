"""Records, messages and clocks shared by all other packages."""
