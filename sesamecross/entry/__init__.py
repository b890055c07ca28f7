"""The entry process, which relays calls from callers to upstreams."""
