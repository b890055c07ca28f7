"""The entry's application object: builds, starts and drains its components."""

import asyncio
import os
import random

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.entry import http_app
from sesamecross.entry import model_dispatcher
from sesamecross.entry import peer_relay
from sesamecross.entry import service_call
from sesamecross.entry import state as state_lib
from sesamecross.entry import steward_link
from sesamecross.entry import stream_relay as stream_relay_lib
from sesamecross.ops import routing
from sesamecross.ops import timeline
from sesamecross.parser import settings as settings_lib
from sesamecross.ports import engine_http
from sesamecross.ports import service_http
from sesamecross.runtime import http_server
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import supervisor

DRAIN_POLL_S = 0.05
DRAIN_LOG_INTERVAL_S = 2.0


class EntryApp:
    """The components of one entry process."""

    def __init__(
        self, settings: settings_lib.EntrySettings, clock: clock_lib.Clock
    ):
        self._settings = settings
        self._logger = logs.get_logger("entry")
        self.recorder = timeline.Recorder(
            f"entry/{settings.instance}", settings.zone, clock
        )
        rng = random.Random(os.urandom(8))
        location = routing.EntryLocation(settings.zone, settings.region, {})
        self._state = state_lib.EntryState(self.recorder)
        self._dispatcher = model_dispatcher.ModelDispatcher(
            location, routing.policy_of(settings.policy), clock, rng
        )
        self._link = steward_link.StewardLink(
            settings, self.recorder, self._on_view, self._state.take_demand
        )
        self._stream_relay = stream_relay_lib.StreamRelay()
        self._engines = engine_http.HttpEngine()
        links = peer_relay.PeerRelay(
            settings.zone, self._state, clock, self.recorder, rng
        )
        services = service_call.ServiceDispatcher(
            settings.zone,
            self._state,
            self._link,
            service_http.HttpService(settings.threads),
            clock,
            self.recorder,
            rng,
            links,
        )
        app = http_app.HttpApp(
            settings,
            self._state,
            self._dispatcher,
            self._stream_relay,
            services,
            self._engines,
            clock,
            self.recorder,
            metrics_lib.Metrics(),
            links,
        )
        limits = http_server.Limits(
            settings.threads,
            settings.max_connections,
            settings.max_head_bytes,
            settings.max_body_bytes,
            settings.caller_idle_ms // 1000,
            settings.receive_ms / 1000,
        )
        self._http = http_server.HttpServer(
            "http", settings.listen, app, limits
        )

    @classmethod
    def from_settings(cls, settings: settings_lib.EntrySettings) -> "EntryApp":
        """Returns an application on the system clock."""
        return cls(settings, clock_lib.SystemClock())

    def components(self) -> list[supervisor.Component]:
        """Starts the threads; returns the components in start order."""
        self._dispatcher.start()
        self._stream_relay.start()
        return [self._link, self._http]

    async def drain(self) -> None:
        """Lets the balancer stop sending calls, then lets open calls finish.

        Readiness fails first, and each response from then on closes its
        connection, so that few are left to close at the end. New calls are
        admitted while the balancer may still send them; after that they are
        refused as not run.
        """
        self._state.stopping = True
        self._http.disable_keep_alive()
        self.recorder.add(timeline.EventKind.DRAIN, "readiness fails")
        await asyncio.sleep(self._settings.balancer_lag_ms / 1000)
        self._state.stop_admission()
        left_s = self._settings.drain_ms / 1000
        until_log_s = DRAIN_LOG_INTERVAL_S
        while self._state.active_calls and left_s > 0:
            await asyncio.sleep(DRAIN_POLL_S)
            left_s -= DRAIN_POLL_S
            until_log_s -= DRAIN_POLL_S
            if until_log_s <= 0:
                until_log_s = DRAIN_LOG_INTERVAL_S
                self._logger.info(
                    "draining", open_calls=self._state.active_calls
                )
        if self._state.active_calls:
            self._logger.error(
                "drain timed out, open calls are aborted",
                open_calls=self._state.active_calls,
            )
        self._dispatcher.shut_down()

    def _on_view(self, view: data.View) -> int:
        """Applies a view; returns the version in force, -1 if none."""
        changed = self._state.apply_view(view)
        snapshot = self._state.snapshot
        if snapshot is None:
            return -1
        draining = snapshot.draining
        if changed:
            entries = max(1, view.entries)
            self._dispatcher.configure(snapshot.declarations, draining, entries)
        self._dispatcher.update_reports(view.reports, draining)
        return snapshot.version
