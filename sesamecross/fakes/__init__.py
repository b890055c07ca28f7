"""Small stand-ins for the platform and upstreams, for demo and tests."""
