"""A small deployment on loopback: fakes, stewards and entries.

The demo, `make up`, the integration tests and the benchmarks share it. Its
addresses are written to an additional file that sorts last in the
configuration folder, as an operator would override them.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
import shutil
import time

import tomli_w

from sesamecross.core import data
from sesamecross.devtools import processes
from sesamecross.parser import folder as folder_lib
from sesamecross.utils import digest

HOST = "127.0.0.1"
SHARED_KEY = "loopback-deployment-shared-key"
CALLER_KEY = "loopback-caller-key"
OTHER_CALLER_KEY = "loopback-other-caller-key"


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSpec:
    """Which processes a deployment has, and their settings.

    Attributes:
      example: Folder of declarations to start from.
      entries_per_zone: Entry instances in each availability zone.
      proxied: Whether the links to upstreams, peers and the log pass through
        the fault proxy.
      extra: Additional declarations, which override all others.
      engine_flags: Additional flags of the fake engines; likewise the other
        flags and settings.
    """

    example: pathlib.Path
    entries_per_zone: int = 2
    proxied: bool = False
    extra: dict = dataclasses.field(default_factory=dict)
    engine_flags: tuple[str, ...] = ()
    log_flags: tuple[str, ...] = ()
    store_flags: tuple[str, ...] = ("--load-s", "0.2")
    service_flags: tuple[str, ...] = ()
    steward_settings: dict = dataclasses.field(default_factory=dict)
    entry_settings: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """Name and addresses of an entry and the steward beside it."""

    name: str
    zone: str
    region: str
    entry_address: str
    steward_address: str
    steward_http_address: str

    @property
    def entry_url(self) -> str:
        """The URL for callers."""
        return f"http://{self.entry_address}"


class Deployment:
    """Starts and stops the processes of a deployment.

    Attributes:
      processes: By name; a restarted process replaces the previous one.
    """

    def __init__(
        self,
        spec: DeploymentSpec,
        work_dir: pathlib.Path,
        defer_signals: Callable[
            [], contextlib.AbstractContextManager
        ] = contextlib.nullcontext,
    ):
        """Writes the configuration and assigns addresses; starts nothing.

        Args:
          spec: Which processes to start.
          work_dir: A directory for this deployment alone; its contents are
            deleted first.
          defer_signals: Defers signals while a process is being started or
            the deployment is being stopped; a `runner.Runner` provides it.
        """
        self._defer_signals = defer_signals
        self.spec = spec
        self.work_dir = work_dir
        self.config_dir = work_dir / "config"
        self.processes: dict[str, processes.Process] = {}
        self.instances: list[Instance] = []
        self.engine_urls: dict[str, str] = {}
        self.service_urls: dict[str, str] = {}
        self._lay_out()

    # -- addresses -------------------------------------------------------

    def _lay_out(self) -> None:
        shutil.rmtree(self.work_dir, ignore_errors=True)
        self.config_dir.mkdir(parents=True)
        (self.work_dir / "logs").mkdir()
        for path in sorted(self.spec.example.glob("*.toml")):
            shutil.copy(path, self.config_dir / path.name)
        check_result = folder_lib.check(self.config_dir)
        if check_result.declarations is None:
            raise ValueError("\n".join(map(str, check_result.problems)))
        self._declared = check_result.declarations
        upstreams = list(self._declared.upstreams.values())
        zones = list(self._declared.zones.values())
        count = len(upstreams) + 4 + 3 * len(zones) * 5
        self._ports = iter(processes.free_ports(count * 2))
        self.log_url = f"http://{self._next_address()}"
        self.store_url = f"http://{self._next_address()}"
        self.instances_url = f"http://{self._next_address()}"
        self.proxy_url = f"http://{self._next_address()}"
        self._links: dict[str, str] = {}
        self._assign_upstream_urls(upstreams)
        self._assign_instance_addresses(zones)
        self._write_overrides()

    def _next_address(self) -> str:
        return f"{HOST}:{next(self._ports)}"

    def _assign_upstream_urls(self, upstreams: list[data.Upstream]) -> None:
        for upstream in upstreams:
            url = f"http://{self._next_address()}"
            if upstream.kind is data.UpstreamKind.ENGINE:
                self.engine_urls[upstream.name] = url
            else:
                self.service_urls[upstream.name] = url

    def _assign_instance_addresses(self, zones: list[data.Zone]) -> None:
        for zone in zones:
            for number in range(1, self.spec.entries_per_zone + 1):
                self.instances.append(
                    Instance(
                        f"{zone.name}-entry-{number}",
                        zone.name,
                        zone.region,
                        self._next_address(),
                        self._next_address(),
                        self._next_address(),
                    )
                )

    def via_proxy(self, link: str, address: str) -> str:
        """Returns the address to connect to: the proxy's if `proxied`."""
        if not self.spec.proxied:
            return address
        if link not in self._links:
            self._links[link] = f"{self._next_address()}>{address}"
        return self._links[link].partition(">")[0]

    def _proxied_url(self, link: str, url: str) -> str:
        return "http://" + self.via_proxy(link, url.removeprefix("http://"))

    def _write_overrides(self) -> None:
        upstreams = {}
        for name, url in (self.engine_urls | self.service_urls).items():
            upstreams[name] = {"url": self._proxied_url(name, url)}
        first_zone = next(iter(self._declared.zones))
        callers = {
            "loopback": {
                "key_digest": digest.of_bearer_key(CALLER_KEY),
                "home_zone": first_zone,
                "models": ["*"],
                "services": ["*"],
                "concurrency": 1000,
            },
            "loopback-other": {
                "key_digest": digest.of_bearer_key(OTHER_CALLER_KEY),
                "home_zone": first_zone,
                "services": ["*"],
            },
        }
        overrides = {"upstreams": upstreams, "callers": callers}
        path = self.config_dir / "90-loopback.toml"
        path.write_text(tomli_w.dumps(overrides))
        if self.spec.extra:
            path = self.config_dir / "95-extra.toml"
            path.write_text(tomli_w.dumps(self.spec.extra))
        check_result = folder_lib.check(self.config_dir)
        if check_result.declarations is None:
            raise ValueError("\n".join(map(str, check_result.problems)))
        self._declared = check_result.declarations

    @property
    def declared(self) -> data.Declarations:
        """The declarations of the configuration folder."""
        return self._declared

    # -- processes -------------------------------------------------------

    def _start(self, name: str, command: list[str]) -> processes.Process:
        log_path = self.work_dir / "logs" / f"{name}.log"
        with self._defer_signals():
            process = processes.Process(name, command, log_path)
            self.processes[name] = process
        return process

    def start_fakes(self) -> None:
        """Starts the fake platform and upstreams; waits until they answer."""
        self._start_platform()
        for name in self.engine_urls:
            self.start_engine(name)
        for name, url in self.service_urls.items():
            self._start(
                f"service-{name}",
                processes.command(
                    "fake_service",
                    "--listen",
                    url.removeprefix("http://"),
                    "--name",
                    name,
                    *self.spec.service_flags,
                ),
            )
        if self.spec.proxied:
            self._add_instance_links()
            self._start_proxy()
        urls = [self.log_url, self.store_url, self.instances_url]
        urls += [*self.engine_urls.values(), *self.service_urls.values()]
        for url in urls:
            processes.wait_http(f"{url}/healthz")

    def _start_platform(self) -> None:
        spec = self.spec
        for role, url, flags in (
            ("log", self.log_url, spec.log_flags),
            ("store", self.store_url, spec.store_flags),
            ("instances", self.instances_url, ()),
        ):
            listen = url.removeprefix("http://")
            command = processes.command(
                f"fake_{role}", "--listen", listen, "--name", role, *flags
            )
            self._start(role, command)

    def start_engine(self, name: str) -> processes.Process:
        """Starts one fake engine."""
        upstream = self._declared.upstreams[name]
        flags = [
            "--listen",
            self.engine_urls[name].removeprefix("http://"),
            "--name",
            name,
            "--memory-mib",
            str(upstream.memory_mib),
            "--store-url",
            self.store_url,
            *self.spec.engine_flags,
        ]
        if upstream.checks_fencing:
            flags.append("--checks-fencing")
        return self._start(
            f"engine-{name}", processes.command("fake_engine", *flags)
        )

    def _add_instance_links(self) -> None:
        for instance in self.instances:
            self._log_url_for(instance)
            self.via_proxy(f"peer-{instance.name}", instance.steward_address)

    def _start_proxy(self) -> None:
        flags = ["--listen", self.proxy_url.removeprefix("http://")]
        for name, link in self._links.items():
            flags += ["--link", f"{name}={link}"]
        self._start("proxy", processes.command("fault_proxy", *flags))
        processes.wait_http(f"{self.proxy_url}/healthz")

    def _log_url_for(self, instance: Instance) -> str:
        return self._proxied_url(f"log-{instance.name}", self.log_url)

    def start_instances(self) -> None:
        """Adds all instances to the instance list and starts them."""
        for instance in self.instances:
            self.set_instance_state(instance, "live", at_once=True)
        for instance in self.instances:
            self.start_steward(instance)
            self.start_entry(instance)

    def set_instance_state(
        self, instance: Instance, state: str, at_once: bool = False
    ) -> None:
        """Sets an instance's entry in the platform's instance list."""
        address = self.via_proxy(
            f"peer-{instance.name}", instance.steward_address
        )
        processes.post_json(
            f"{self.instances_url}/fake/set",
            {
                "instance": instance.name,
                "zone": instance.zone,
                "address": address,
                "state": state,
                "at_once": at_once,
            },
        )

    def start_steward(self, instance: Instance) -> processes.Process:
        """Starts the steward of an instance."""
        advertised = self.via_proxy(
            f"peer-{instance.name}", instance.steward_address
        )
        settings = {
            "instance": instance.name,
            "zone": instance.zone,
            "region": instance.region,
            "listen": instance.steward_address,
            "advertise": advertised,
            "metrics_listen": instance.steward_http_address,
            "log_url": self._log_url_for(instance),
            "instances_url": self.instances_url,
            "shared_key": SHARED_KEY,
            **self.spec.steward_settings,
        }
        return self._start_program("steward", instance, settings)

    def start_entry(self, instance: Instance) -> processes.Process:
        """Starts the entry of an instance."""
        settings = {
            "instance": instance.name,
            "zone": instance.zone,
            "region": instance.region,
            "listen": instance.entry_address,
            "steward": instance.steward_address,
            "shared_key": SHARED_KEY,
            "balancer_lag_ms": 300,
            **self.spec.entry_settings,
        }
        return self._start_program("entry", instance, settings)

    def _start_program(
        self, role: str, instance: Instance, settings: dict
    ) -> processes.Process:
        path = self.work_dir / f"{role}-{instance.name}.toml"
        path.write_text(tomli_w.dumps(settings))
        return self._start(
            f"{role}-{instance.name}",
            processes.command(role, "--settings", str(path)),
        )

    def wait_ready(self, timeout_s: float = processes.READY_TIMEOUT_S) -> None:
        """Waits until every entry is ready for calls."""
        for instance in self.instances:
            processes.wait_http(f"{instance.entry_url}/readyz", timeout_s)

    def wait_resident(self, names: set[str], timeout_s: float = 25.0) -> float:
        """Waits until each model or adapter is resident on some engine.

        Returns:
          The time that it took, in seconds.

        Raises:
          NotReadyError: Some are not resident after `timeout_s`.
        """
        began = time.monotonic()
        while True:
            resident: set[str] = set()
            for url in self.engine_urls.values():
                stats = processes.get_json(f"{url}/fake/stats")
                resident.update(stats["resident"])
            missing = names - resident
            if not missing:
                return time.monotonic() - began
            if time.monotonic() - began > timeout_s:
                raise processes.NotReadyError(
                    f"not resident: {sorted(missing)}"
                )
            time.sleep(0.1)

    def set_link_faults(self, link: str, **faults: object) -> None:
        """Sets faults on a link of the fault proxy."""
        body = {"link": link, **faults}
        processes.post_json(f"{self.proxy_url}/fake/faults", body)

    def stop(self) -> dict[str, int | None]:
        """Stops all processes, entries first, then stewards.

        Returns:
          The exit code of each process, by name; None for one that did not
          stop in time and was killed.
        """
        with self._defer_signals():
            return self._stop()

    def _stop(self) -> dict[str, int | None]:
        codes: dict[str, int | None] = {}
        for role in ("entry", "steward", ""):
            group = [
                process
                for name, process in self.processes.items()
                if name.startswith(role) and name not in codes
            ]
            for process in group:
                process.terminate()
            for process in group:
                codes[process.name] = process.wait()
                process.kill()
        return codes
