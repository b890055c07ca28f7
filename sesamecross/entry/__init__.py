"""The process that relays calls between callers and upstreams."""
