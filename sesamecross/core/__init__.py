"""Records and small rules that all other packages speak."""
