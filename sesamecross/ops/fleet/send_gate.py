"""Verdicts on whether a request may be sent now.

Several kinds of evidence speak against a send: about the request, which ended
the upstreams that ran it, and about the upstream, which leaves or wants a
pause. Each is judged in a module of its own. All answer in these terms, so that
one gate right before the send can ask them all.
"""

import msgspec


class Send(msgspec.Struct, frozen=True):
    """Nothing speaks against it."""


class WaitUntil(msgspec.Struct, frozen=True):
    """It will be known later; ask again then, or after a change.

    Attributes:
      at_s: Monotonic time.
    """

    at_s: float


class Refuse(msgspec.Struct, frozen=True):
    """No upstream gets the request.

    Attributes:
      after_s: When the caller may come again, in seconds from now.
    """

    after_s: float


Verdict = Send | WaitUntil | Refuse

SEND = Send()
