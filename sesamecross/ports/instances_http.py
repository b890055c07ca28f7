"""Client of the platform's list of live and leaving instances.

The list lags behind. It helps to find a first peer while the log is
unavailable, but must not be used to declare an instance dead.

Wire format: `GET /instances` returns a list of `{"instance", "zone",
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
    """One entry of the platform's list. `address` accepts streams."""

    instance: str
    zone: str
    address: str
    leaving: bool


class HttpInstances:
    """Reads the platform's list of instances."""

    __slots__ = ("_url", "_pool")

    def __init__(self, url: str):
        self._url = f"{url}/instances"
        self._pool = http_client.pool(1, connect_s=1.0, read_s=2.0)

    def read(self) -> Result[list[ListedInstance], errors.Problem]:
        """Returns the instances that the platform lists now."""
        try:
            response = self._pool.request("GET", self._url)
            if response.status != 200:
                return Failure(self._problem(f"HTTP {response.status}"))
            entries = json.loads(response.data)
            return Success([_parse_instance(entry) for entry in entries])
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


def _parse_instance(entry: dict) -> ListedInstance:
    return ListedInstance(
        str(entry["instance"]),
        str(entry["zone"]),
        str(entry["address"]),
        entry["state"] == "leaving",
    )
