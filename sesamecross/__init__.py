"""sesamecross: serves many models on fewer accelerators."""
