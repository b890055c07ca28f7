"""What the requests of one instance share.

The parts of a request's life (admission, sending, recording) need the same
clients and guards; they get them from here.
"""

from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import engine_search
from sesamecross.gateway import origin_registry
from sesamecross.gateway import request_guard as request_guard_lib
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import upstream_connector
from sesamecross.gateway import upstream_words
from sesamecross.ops.fleet import answer_bounds
from sesamecross.ops.fleet import stopping
from sesamecross.ops.fleet import target_uses
from sesamecross.ports import http_codec as http_codec_lib
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib

# How long requests wait for the first configuration and list of upstreams. Both
# take a tenth of a second from a store that answers.
START_WAIT_S = 0.5


class RequestContext:
    """Clients, guards and state that all requests use.

    Attributes:
      state: What this instance knows.
      http_codec: Reads and writes the platform's headers.
      connection_pool: Idle connections to upstreams.
      metrics: The process's metrics.
      log: The logger of requests.
      search_context: State shared by the searches for an engine.
      uses: Requests in progress by engine and target.
      answer_memory: What all answers under way may hold in memory.
      connector: Opens connections to upstreams; set when the application is
        assembled.
      origins: Knows where streams began; set when the application is
        assembled.
      words: Records what upstreams say in their answers; set when the
        application is assembled.
      request_guard: Withholds requests that end upstreams; set when the
        application is assembled.
      stop: Set while this instance stops.
    """

    __slots__ = (
        "state",
        "http_codec",
        "connection_pool",
        "metrics",
        "log",
        "search_context",
        "uses",
        "answer_memory",
        "connector",
        "origins",
        "request_guard",
        "words",
        "stop",
        "_ready_by_s",
    )

    def __init__(
        self,
        state: state_lib.State,
        http_codec: http_codec_lib.HttpCodec,
        connection_pool: connection_pool_lib.ConnectionPool,
        search_context: engine_search.SearchContext,
        metrics: metrics_lib.Metrics,
    ):
        self.state = state
        self.http_codec = http_codec
        self.connection_pool = connection_pool
        self.metrics = metrics
        self.log = logs.get_logger("request")
        self.search_context = search_context
        self.uses = target_uses.TargetUses()
        self.answer_memory = answer_bounds.AnswerMemory(state.memory_bytes)
        self.connector: upstream_connector.UpstreamConnector | None = None
        self.origins: origin_registry.OriginRegistry | None = None
        self.request_guard: request_guard_lib.RequestGuard | None = None
        self.words: upstream_words.UpstreamWords | None = None
        self.stop: stopping.Stop | None = None
        # Until when requests wait for the first configuration; None before the
        # first of them.
        self._ready_by_s: float | None = None

    async def wait_until_ready(self) -> bool:
        """Waits at the start for the configuration and the upstreams.

        Callers reach an instance as soon as its port is open, and both arrive
        some tenths of a second later, unless the store does not answer. Once
        requests have waited for that long in vain, all others are refused at
        once.

        Returns:
          Whether requests can be served.
        """
        loop = event_loop.running()
        if self._ready_by_s is None:
            self._ready_by_s = loop.time() + START_WAIT_S
        while not self.state.is_ready and self.stop is None:
            left_s = self._ready_by_s - loop.time()
            if left_s <= 0:
                break
            await self.state.wait_for_change(left_s)
        return self.state.is_ready
