"""The gateway: one process per instance that serves callers on a platform.

On a platform with small instances and no disks, one event loop holds the
connections of callers and upstreams, follows the store, talks to the other
instances and, on the lease holder, places models. These modules do the I/O
for the decisions in `sesamecross.ops`.
"""
