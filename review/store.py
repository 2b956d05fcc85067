"""A stand-in of the platform's store, as the pages describe it.

It holds items, leases, a history of changes and watches. Only what gateways
call is there; values are bytes.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import time
import urllib.parse


@dataclasses.dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created_revision: int
    lease_id: int


class Store:
    """A server with items, watches, conditional writes and leases."""

    def __init__(self):
        self.port = 0
        self._items: dict[str, _Item] = {}
        self._revision = 1
        # Rows of key, revision and item; the item is None for a deletion.
        self._history: list[tuple[str, int, _Item | None]] = []
        # The duration and the end of each lease, in seconds.
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._on_connection, '127.0.0.1', 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def put(self, key: str, value: bytes, lease_id: int = 0) -> None:
        """Write an item."""
        self._revision += 1
        before = self._items.get(key)
        created = before.created_revision if before else self._revision
        item = _Item(value, self._revision, created, lease_id)
        self._items[key] = item
        self._record_change(key, item)

    def remove(self, key: str) -> None:
        """Delete an item if it exists."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._record_change(key, None)

    def _record_change(self, key: str, item: _Item | None) -> None:
        self._history.append((key, self._revision, item))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _on_connection(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                body = await reader.readexactly(_get_length(head))
                method, target, _ = head.decode('latin-1').split(' ', 2)
                reply = await self._dispatch(method, target, body)
                writer.write(_render(*reply))
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def _dispatch(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict]:
        self._end_leases()
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        match method, path.split('/')[1:]:
            case 'GET', ['kv-key']:
                return self._get(fields['key'])
            case 'GET', ['kv-range']:
                return self._list(fields['prefix'], fields.get('after', ''))
            case 'GET', ['kv-watch']:
                return await self._watch(fields)
            case 'POST', ['kv-txn']:
                return self._commit(json.loads(body))
            case 'POST', ['kv-lease']:
                return self._grant(json.loads(body)['ttl_ms'])
            case 'POST', ['kv-keep', lease_id]:
                return self._renew(int(lease_id))
            case 'DELETE', ['kv-lease-end', lease_id]:
                self._end_lease(int(lease_id))
                return 200, {}
        return 404, {}

    def _get(self, key: str) -> tuple[int, dict]:
        item = self._items.get(key)
        if item is None:
            return 404, {}
        found = _encode(key, item)
        return 200, {**found, 'at_revision': self._revision}

    def _list(self, prefix: str, after: str) -> tuple[int, dict]:
        items = [
            _encode(key, self._items[key])
            for key in sorted(self._items)
            if key.startswith(prefix) and key > after
        ]
        found = {'items': items, 'has_more': False}
        return 200, {**found, 'at_revision': self._revision}

    async def _watch(self, fields: dict[str, str]) -> tuple[int, dict]:
        after = int(fields['after'])
        end = time.monotonic() + int(fields['wait_ms']) / 1000
        while True:
            changed = self._changed
            events = [
                _encode(key, item)
                if item is not None
                else {'key': key, 'revision': revision, 'compacted': True}
                for key, revision, item in self._history
                if revision > after and key.startswith(fields['prefix'])
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                found = {'events': events, 'at_revision': self._revision}
                return 200, found
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    def _commit(self, request: dict) -> tuple[int, dict]:
        rows = request['expected_revision']
        for row in rows:
            item = self._items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                keys = [each['key'] for each in rows]
                items = [
                    _encode(key, self._items[key])
                    for key in keys
                    if key in self._items
                ]
                return 412, {'items': items}
        writes = request['writes']
        for row in writes:
            if row['lease_id'] and row['lease_id'] not in self._leases:
                return 404, {}
        for row in writes:
            value = base64.b64decode(row['value'])
            self.put(row['key'], value, row['lease_id'])
        for key in request['deletes']:
            self.remove(key)
        return 200, {'revision': self._revision}

    def _grant(self, ttl_ms: int) -> tuple[int, dict]:
        lease_id = len(self._history) + len(self._leases) + 1000
        while lease_id in self._leases:
            lease_id += 1
        ttl_s = ttl_ms / 1000
        self._leases[lease_id] = ttl_s, time.monotonic() + ttl_s
        return 200, {'lease_id': lease_id, 'ttl_ms': ttl_ms}

    def _renew(self, lease_id: int) -> tuple[int, dict]:
        if lease_id not in self._leases:
            return 404, {}
        ttl_s, _ = self._leases[lease_id]
        self._leases[lease_id] = ttl_s, time.monotonic() + ttl_s
        return 200, {'ttl_ms': round(1000 * ttl_s)}

    def _end_leases(self) -> None:
        now = time.monotonic()
        for lease_id, (_, end) in list(self._leases.items()):
            if end < now:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        for key, item in list(self._items.items()):
            if item.lease_id == lease_id:
                self.remove(key)


def _encode(key: str, item: _Item) -> dict:
    return {
        'key': key,
        'value': base64.b64encode(item.value).decode('ascii'),
        'revision': item.revision,
        'created_revision': item.created_revision,
        'lease_id': item.lease_id,
    }


def _get_length(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0


def _render(status: int, fields: dict) -> bytes:
    body = json.dumps(fields).encode()
    head = (
        f'HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
