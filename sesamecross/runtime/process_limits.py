"""What the operating system allows this process."""

import resource


def max_sockets(configured: int) -> int:
    """Returns how many sockets may be open, by settings and system.

    Args:
      configured: What the settings allow.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return (
        configured if soft == resource.RLIM_INFINITY else min(configured, soft)
    )
