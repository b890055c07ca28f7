"""Finds the route of a request: by host, then by the longest path prefix.

A configuration can hold hundreds of routes, and each request is matched once.
Prefixes begin and end with a slash, so only the path's own prefixes that end in
a slash can match. Looking these up takes time in the depth of the path and not
in the number of routes.
"""

from sesamecross.core import serving


class RouteTable:
    """The routes of one configuration."""

    __slots__ = ("_by_host",)

    def __init__(self, routes: tuple[serving.Route, ...]):
        self._by_host: dict[str, dict[str, serving.Route]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def find(self, host: str, path: str) -> serving.Route | None:
        """Returns the route of a request, or None.

        Args:
          host: Value of the `Host` header, with or without a port.
          path: Path as sent; a query string is ignored.
        """
        by_prefix = self._by_host.get(_without_port(host).lower())
        if by_prefix is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while end > 0:
            slash = path.rfind("/", 0, end)
            if slash < 0:
                return None
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
