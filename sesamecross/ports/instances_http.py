"""The platform's list of live and leaving instances over HTTP.

Why: it is a hint that lags: good for finding a first peer while the log is
away, never good enough to declare somebody dead.

Wire form: `GET /instances` answers a list of `{"instance", "zone",
"address", "state"}`; `state` is "live" or "leaving".
"""

import dataclasses
import json

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import urllib3

from sesamecross.core import errors
from sesamecross.ports import http_client


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One line of the platform's list. `address` is a stream address."""

    instance: str
    zone: str
    address: str
    leaving: bool


class HttpInstances:
    """Reads the list."""

    __slots__ = ("_url", "_pool")

    def __init__(self, url: str):
        self._url = f"{url}/instances"
        self._pool = http_client.pool(1, connect_s=1.0, read_s=2.0)

    def read(self) -> Result[list[ListedInstance], errors.Problem]:
        """Returns what the platform lists now."""
        try:
            response = self._pool.request("GET", self._url)
            if response.status != 200:
                return Failure(self._problem(f"HTTP {response.status}"))
            lines = json.loads(response.data)
            return Success([_listed(line) for line in lines])
        except (
            urllib3.exceptions.HTTPError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            return Failure(self._problem(type(error).__name__))

    def _problem(self, reason: str) -> errors.Problem:
        return errors.Problem(
            self._url,
            "",
            f"the instance list can't be read ({reason})",
            "check the platform's list; members known already stay known",
            errors.Kind.UNREACHABLE,
        )


def _listed(line: dict) -> ListedInstance:
    return ListedInstance(
        str(line["instance"]),
        str(line["zone"]),
        str(line["address"]),
        line["state"] == "leaving",
    )
