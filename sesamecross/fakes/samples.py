"""Default records for tests, which replace the fields that matter to them."""

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.parser import settings as settings_lib

INSTANCE = serving.Instance(
    "front-1",
    "z1",
    "r1",
    "10.0.0.1",
    "10.0.0.1:80",
    "10.0.0.1:81",
    (7380, 7381),
    "10.9.0.1:90",
    {"z1": "r1"},
    1.0,
    serving.Bounds(),
)

MEMBER = fm.Member("front-1", 1, "z1", "10.0.0.1:7380", -1, -1)

STEWARD_SETTINGS = settings_lib.StewardSettings(
    instance="i",
    zone="z",
    region="r",
    listen="127.0.0.1:0",
    metrics_listen="127.0.0.1:0",
    log_url="http://127.0.0.1:1",
    instances_url="http://127.0.0.1:1",
    shared_key="0123456789abcdef",
)
