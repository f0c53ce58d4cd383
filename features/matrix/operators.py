"""The document of the matrix and the simulated operators who change it."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from result import Result

from berylmast.operators.revisions import (
    DOCUMENT_KIND,
    ApplyConflict,
    ApplyUnknown,
    Revision,
    apply_revision,
)
from berylmast.platform import StoredObject
from berylmast.platform.tests.fake_store import FakeStore
from berylmast_dev.objects import ObjectTable

ENVIRONMENT = "test"
FIRST_CONNECTIONS = 260

ROUTES = (
    '{"methods": ["POST"], "idempotent": false, "priority": "urgent",'
    ' "deadline_ms": 4000},'
    '{"methods": ["GET"], "idempotent": true, "priority": "browse",'
    ' "deadline_ms": 4000}'
)
PRIORITIES = '[{"name": "urgent", "floor": 0.5}, {"name": "browse", "floor": 0.1}]'


def make_document(connections: int) -> str:
    """Return a document, identified by the number of connections of its services."""
    services = ",".join(
        f'"{name}": {{"hosts": ["{name}.test"], "slots": 6,'
        f' "connections": {connections}, "routes": [{ROUTES}]}}'
        for name in ("orders", "drawings")
    )
    return f'{{"priorities": {PRIORITIES}, "services": {{{services}}}}}'


class OperatorPlatform(FakeStore):
    """The platform's store as used by operators; calls ``on_put`` before each write."""

    def __init__(self, table: ObjectTable) -> None:
        super().__init__(table)
        self.on_put: Callable[[], None] | None = None

    async def put(
        self, kind: str, name: str, spec: object, revision: int | None
    ) -> StoredObject:
        """Call ``on_put``, then write."""
        if self.on_put is not None:
            self.on_put()
        return await super().put(kind, name, spec, revision)


@dataclass
class ChangeResult:
    """The result of one document change as reported to the operator."""

    connections: int
    base: int
    result: Result[Revision, ApplyConflict | ApplyUnknown]
    ended_s: float


class Operators:
    """Apply document changes; ``results`` holds the result of each."""

    def __init__(self, table: ObjectTable) -> None:
        self.platform = OperatorPlatform(table)
        self.results: list[ChangeResult] = []
        self._table = table
        self._connections = FIRST_CONNECTIONS

    async def apply(self, base: int | None = None) -> bool:
        """Apply a new document on a base version, by default the stored one."""
        self._connections += 1
        connections = self._connections
        if base is None:
            base = self.stored_version
        text = make_document(connections)
        result = await apply_revision(self.platform, ENVIRONMENT, text, base)
        self.results.append(
            ChangeResult(connections, base, result, anyio.current_time())
        )
        return result.is_ok()

    @property
    def stored_version(self) -> int:
        """Return the version that the store holds, 0 if there is none."""
        found = self._table.get(DOCUMENT_KIND, ENVIRONMENT)
        return 0 if found is None else int(found["spec"]["version"])

    def list_accepted_documents(self) -> list[tuple[int, str]]:
        """Return the version and text of each accepted document, in order."""
        changes = self._table.get_changes_since(DOCUMENT_KIND, 0)
        specs = [change.object["spec"] for change in changes]
        return [(spec["version"], spec["text"]) for spec in specs]
