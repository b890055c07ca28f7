"""Sends bursts of bodies to one real gateway, and prints what becomes of them.

The memory of a process under bodies depends on their sizes, their framing, the
pace of their callers and of the upstream. Each row is a gateway process of its
own, with `memoryMb` as in the platform's settings, beside callers of small
requests.

    python -m sesamecross.devtools.body_bursts --memory-mb 300
"""

import argparse
import asyncio
from collections.abc import Iterator
import dataclasses
import pathlib
import tempfile

from sesamecross.fakes import body_callers
from sesamecross.fakes import platform_site

MAX_BODY_BYTES = 4 * 1024 * 1024
LARGE_BYTES = 4_190_000
# Callers of the usual burst, and those of small requests beside it.
BURST, SMALL_CALLERS = 47, 25
SMALL = body_callers.Upload(600)
SIZES = {
    "600 B": [SMALL],
    "64 KB": [body_callers.Upload(64_000)],
    "1 MB": [body_callers.Upload(1_000_000)],
    "limit": [body_callers.Upload(LARGE_BYTES)],
    "mixed": [
        body_callers.Upload(size)
        for size in (600, 30_000, 300_000, 1_000_000, LARGE_BYTES)
    ],
}
PACE = {"piece_bytes": 100_000, "pause_s": 0.06}
WAYS = {
    "paced": PACE,
    "at once": {},
    "chunks": {"is_chunked": True, **PACE},
    "tiny chunks": {"is_chunked": True, "piece_bytes": 16},
    "stop": {"share": 0.7, **PACE},
    "leave": {"share": 0.7, "leaves": True, **PACE},
}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of one burst."""

    statuses: dict[int, int]
    small_share: float
    untrue: int
    longest_s: float
    rest_bytes: int
    peak_bytes: int
    is_alive: bool


def uploads(
    size: str, way: str, factor: float
) -> Iterator[body_callers.Upload]:
    """Returns the requests of a burst."""
    options = dict(WAYS[way])
    share = options.pop("share", None)
    for number in range(round(BURST * factor)):
        one = SIZES[size][number % len(SIZES[size])]
        stops_at = None if share is None else int(one.size * share)
        yield dataclasses.replace(one, stops_at=stops_at, **options)


async def _small_requests(
    site: platform_site.PlatformSite, until: asyncio.Event
) -> list[int]:
    path = platform_site.PATHS[platform_site.DESK]
    statuses = []
    while not until.is_set():
        one = await body_callers.send(site.gateway.front, path, SMALL)
        statuses.append(one.status)
        await asyncio.sleep(0.3)
    return statuses


async def _play(
    site: platform_site.PlatformSite, burst: list[body_callers.Upload]
) -> tuple[list[int], list[body_callers.Outcome]]:
    is_over = asyncio.Event()
    small = [
        asyncio.create_task(_small_requests(site, is_over))
        for _ in range(SMALL_CALLERS)
    ]
    await asyncio.sleep(1.0)
    path = platform_site.PATHS[platform_site.DESK]
    outcomes = await body_callers.send_all(site.gateway.front, path, burst)
    is_over.set()
    return sum(await asyncio.gather(*small), []), outcomes


def run(
    directory: pathlib.Path, memory_mb: int, burst: list[body_callers.Upload]
) -> Result:
    """Sends a burst to a gateway process of its own."""
    site = platform_site.PlatformSite(directory, memory_mb)
    try:
        site.publish(idle_ms=15_000, max_body_bytes=MAX_BODY_BYTES)
        site.add_upstream(platform_site.DESK)
        site.gateway.start()
        site.gateway.wait_ready()
        site.wait_until_known()
        rest, _ = site.gateway.memory_bytes()
        small, outcomes = asyncio.run(_play(site, burst))
        _, peak = site.gateway.memory_bytes()
        statuses: dict[int, int] = {}
        for one in outcomes:
            statuses[one.status] = statuses.get(one.status, 0) + 1
        return Result(
            statuses,
            small.count(200) / max(1, len(small)),
            sum(
                one.status in (408, 503) and bool(site.runs_of(one.request_id))
                for one in outcomes
            ),
            max(one.took_s for one in outcomes),
            rest,
            peak,
            site.gateway.is_running,
        )
    finally:
        site.stop()


def main() -> None:
    """Plays all sizes, ways and factors, or those that are named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--memory-mb", type=int, default=300)
    parser.add_argument("--sizes", nargs="*", default=list(SIZES))
    parser.add_argument("--ways", nargs="*", default=list(WAYS))
    parser.add_argument(
        "--factors", nargs="*", type=float, default=[0.5, 1, 2, 4]
    )
    arguments = parser.parse_args()
    print("size   way         factor  rest  peak MB  small  untrue  longest")
    for size in arguments.sizes:
        for way in arguments.ways:
            for factor in arguments.factors:
                burst = list(uploads(size, way, factor))
                with tempfile.TemporaryDirectory() as directory:
                    result = run(
                        pathlib.Path(directory), arguments.memory_mb, burst
                    )
                print(
                    f"{size:6} {way:11} {factor:6g} "
                    f"{result.rest_bytes / 1e6:5.0f} "
                    f"{result.peak_bytes / 1e6:8.0f} "
                    f"{result.small_share:6.3f} {result.untrue:7} "
                    f"{result.longest_s:8.2f} {result.statuses}"
                    f"{'' if result.is_alive else ' ENDED'}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
