"""Runner and measurements; scaffolding, not product."""
