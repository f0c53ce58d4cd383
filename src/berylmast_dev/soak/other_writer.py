"""Messages of another writer: reports and entries that name no server to use.

Each has one value that another writer may put there; the rest is as in a sound one.
"""

import json
from dataclasses import dataclass

LATER_START_MS = 10**13
"""Start time of a server of another writer, later than that of any other."""

_NESTED = "[" * 3_000 + "]" * 3_000
_UNREADABLE_ID = "i-%FF%FE93c1"
_VALUE = '"@value@"'


@dataclass(frozen=True, slots=True)
class Report:
    """A heartbeat: the request path and the body to send to a daemon."""

    path: str
    body: bytes


def make_report(how: str, service: str, address: str) -> Report:
    """Return a heartbeat for the server at an address."""
    sound = json.dumps(
        {
            "address": address,
            "born": LATER_START_MS,
            "info": {"service": service, "version": "v1", "zone": "", "slots": 6},
            "status": {
                "state": _VALUE.strip('"') if how == "report_field" else "ready",
                "sequence": 1,
                "coldLeft": "0ms",
            },
        }
    )
    ident = _UNREADABLE_ID if how == "report_id" else "i-of-another-writer"
    body = sound.replace(_VALUE, _NESTED).encode()
    if how == "report_bytes":
        body = body.replace(b'"v1"', b'"\xff\xfe\x00"')
    return Report(f"/v1/rpc?call=instances.heartbeat&of={ident}", body)


def make_entry(how: str, service: str) -> str:
    """Return an item of the list of entries, as text in which bytes are characters."""
    value = {
        "entry_nested": _NESTED,
        "entry_bytes": '"\xff\xfe"',
        "entry_field": "17",
        "entry_number": "9" * 5_000,
    }[how]
    spec = {
        "backend": "i-entry",
        "service": service,
        "host": _VALUE.strip('"'),
        "port": 1,
        "region": "north",
        "failure_domain": "n1",
        "incarnation": LATER_START_MS,
        "seq": 1,
        "state": "ready",
    }
    metadata = {"name": "i-entry", "revision": 1}
    item = json.dumps({"metadata": metadata, "spec": spec, "status": {}})
    return item.replace(_VALUE, value)
