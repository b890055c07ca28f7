"""The gateway: one process on an instance that serves callers on a platform.

Why: on a platform with small instances and no disks, one event loop holds
the connections of callers and upstreams, follows the store, speaks with the
other instances and, where it holds the lease, places models. The modules
here are shells around the decisions in `sesamecross.ops`.
"""
