"""Renders the timeline as text, JSON lines, trace events or an HTML page.

Text is for terminals, JSON lines for tools, the trace event format for common
trace viewers. The HTML page is self-contained, draws a lane for each process
and can be attached to a report.
"""

from collections.abc import Sequence
import datetime
import html
import json

import msgspec

from sesamecross.ops import timeline

Events = Sequence[timeline.TimelineEvent]


def as_text(events: Events) -> list[str]:
    """Returns a line for each event."""
    return [_text(event) for event in events]


def _time(wall_ms: int) -> str:
    at = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return at.strftime("%H:%M:%S.") + f"{wall_ms % 1000:03d}"


def _text(event: timeline.TimelineEvent) -> str:
    parts = [
        _time(event.wall_ms),
        f"{event.process:34}",
        f"{event.kind.value:8}",
        event.what,
    ]
    if event.model:
        parts.append(f"[{event.model}]")
    if event.upstream:
        parts.append(f"@{event.upstream}")
    if event.call_id:
        parts.append(f"call={event.call_id[:12]}")
    return " ".join(parts)


def as_json_lines(events: Events) -> list[str]:
    """Returns a JSON object for each event."""
    return [json.dumps(msgspec.to_builtins(event)) for event in events]


def as_trace(events: Events) -> str:
    """Returns a document in the trace event format."""
    processes = sorted({event.process for event in events})
    numbers = {name: number for number, name in enumerate(processes, 1)}
    rows: list[dict] = [
        {
            "ph": "M",
            "name": "process_name",
            "pid": number,
            "args": {"name": name},
        }
        for name, number in numbers.items()
    ]
    for event in events:
        rows.append(
            {
                "ph": "i",
                "s": "p",
                "pid": numbers[event.process],
                "tid": 1,
                "ts": event.wall_ms * 1000 + min(event.count, 999),
                "name": f"{event.kind.value}: {event.what}",
                "cat": event.kind.value,
                "args": msgspec.to_builtins(event),
            }
        )
    return json.dumps({"traceEvents": rows})


_LANE_PX = 30
_LEFT_PX = 290
_WIDTH_PX = 1500
_COLOURS = {
    "process": "#777777",
    "config": "#7b3fb5",
    "lease": "#b5523f",
    "intent": "#b58b3f",
    "order": "#8f6d2f",
    "claim": "#c2185b",
    "call": "#2e7d32",
    "route": "#1565c0",
    "retry": "#ef6c00",
    "refusal": "#c62828",
    "drain": "#5d4037",
    "member": "#00838f",
    "log": "#455a64",
    "plan": "#827717",
}

_STYLE = """
body{font:13px system-ui,sans-serif;margin:16px;color:#222}
table{border-collapse:collapse;margin-top:16px}
td{padding:2px 10px 2px 0;vertical-align:top;border-top:1px solid #eee}
.key span{display:inline-block;margin-right:14px}
.key i{display:inline-block;width:10px;height:10px;border-radius:5px;
margin-right:4px}
svg text{font:12px system-ui,sans-serif;fill:#222}
circle:hover{stroke:#000;stroke-width:2}
input{font:inherit;padding:4px;width:320px}
"""

_SCRIPT = """
const find=document.getElementById('find');
find.addEventListener('input',()=>{
  const want=find.value.toLowerCase();
  for(const e of document.querySelectorAll('[data-text]')){
    const hit=e.dataset.text.toLowerCase().includes(want);
    e.style.display=hit?'':'none';
  }
});
"""


def as_page(events: Events, missing: Sequence[str]) -> str:
    """Returns a self-contained HTML page with a lane for each process."""
    lanes = sorted({event.process for event in events})
    first = min((event.wall_ms for event in events), default=0)
    last = max((event.wall_ms for event in events), default=1)
    span = max(1, last - first)
    shapes = [_lane(lane, name) for lane, name in enumerate(lanes)]
    for event in events:
        x = _LEFT_PX + (event.wall_ms - first) / span * (_WIDTH_PX - 20)
        shapes.append(_dot(event, x, lanes.index(event.process)))
    shapes += _axis(first, span, len(lanes))
    height = _LANE_PX * (len(lanes) + 1) + 10
    key = "".join(
        f'<span><i style="background:{colour}"></i>{kind}</span>'
        for kind, colour in _COLOURS.items()
    )
    rows = "".join(_row(event) for event in events)
    absent = "".join(
        f"<p><b>missing: {html.escape(name)}</b></p>" for name in missing
    )
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        f"<title>sesamecross time line</title><style>{_STYLE}</style>"
        f"<h1>Time line</h1><p>{len(events)} events over {span} ms,"
        f" {len(lanes)} processes. Point at a dot for its event."
        f" <input id=find placeholder='show only events with…'></p>{absent}"
        f'<p class=key>{key}</p><svg width="{_LEFT_PX + _WIDTH_PX}"'
        f' height="{height}">{"".join(shapes)}</svg>'
        f"<table>{rows}</table><script>{_SCRIPT}</script></html>"
    )


def _lane(lane: int, name: str) -> str:
    y = lane * _LANE_PX + 20
    return (
        f'<text x="0" y="{y + 4}">{html.escape(name)}</text>'
        f'<line x1="{_LEFT_PX}" x2="{_LEFT_PX + _WIDTH_PX}" y1="{y}"'
        f' y2="{y}" stroke="#ddd"/>'
    )


def _dot(event: timeline.TimelineEvent, x: float, lane: int) -> str:
    y = lane * _LANE_PX + 20
    text = html.escape(_text(event), quote=True)
    colour = _COLOURS[event.kind.value]
    return (
        f'<circle cx="{x:.1f}" cy="{y}" r="5" fill="{colour}"'
        f' fill-opacity=".75" data-text="{text}"><title>{text}</title>'
        "</circle>"
    )


def _axis(first: int, span: int, lanes: int) -> list[str]:
    y = lanes * _LANE_PX + 24
    marks = []
    for step in range(11):
        x = _LEFT_PX + step / 10 * (_WIDTH_PX - 20)
        label = _time(first + span * step // 10)
        marks.append(
            f'<text x="{x - 36:.0f}" y="{y}" fill-opacity=".6">{label}</text>'
        )
    return marks


def _row(event: timeline.TimelineEvent) -> str:
    cells = (
        _time(event.wall_ms),
        event.process,
        event.kind.value,
        event.what,
        event.model,
        event.upstream,
        event.call_id,
    )
    text = html.escape(_text(event), quote=True)
    inner = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
    return f'<tr data-text="{text}">{inner}</tr>'
