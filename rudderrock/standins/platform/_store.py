"""In-memory stand-in for the platform's store, with injectable faults."""

import asyncio
import base64
import collections
import dataclasses
import enum
import urllib.parse

import msgspec

from rudderrock import gateway
from rudderrock.standins import _wire_server as wire_server


class Refusal(enum.Enum):
    """How the store refuses calls.

    BUSY answers with status 503, MANY with 429, RESET closes the connection
    and SILENT sends no reply.
    """

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    RESET = 'reset'
    SILENT = 'silent'


@dataclasses.dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created_revision: int
    lease: int = 0


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """A snapshot of the store."""

    items: dict[str, _Item]
    revision: int
    history: tuple[tuple[str, int, bytes | None, int], ...]
    oldest_revision: int
    leases: dict[int, _Lease]
    next_lease: int


class PlatformStore(wire_server.WireServer):
    """Server with items, watches, conditional writes and leases over HTTP.

    `refusal` applies to all calls, and `reply_delay_s` delays each reply in
    seconds. With `drop_replies` writes are executed but not answered, and with
    `drops_watch_events` watches receive no events. `page` is the maximum
    number of items in a page of a range.
    """

    def __init__(self, page: int = 500):
        super().__init__()
        self.refusal = Refusal.NONE
        self.reply_delay_s = 0.0
        self.drop_replies = False
        self.drops_watch_events = False
        self.page = page
        self.calls: collections.Counter[str] = collections.Counter()
        self.items: dict[str, _Item] = {}
        # Keys whose values are returned as invalid base64.
        self.corrupt_keys: set[str] = set()
        self.revision = 0
        # The number of restores from a snapshot.
        self.era = 0
        # If not empty, it is sent instead of the era, to test invalid eras.
        self.era_text = ''
        self._history: list[tuple[str, int, bytes | None, int]] = []
        self._oldest_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._watches_cut = asyncio.Event()

    @property
    def _sent_era(self) -> str:
        return self.era_text or str(self.era)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item, as the operator or an upstream does."""
        self.revision += 1
        old = self.items.get(key)
        created_revision = (
            old.created_revision if old is not None else self.revision
        )
        self.items[key] = _Item(value, self.revision, created_revision, lease)
        self._history.append((key, self.revision, value, lease))
        self._notify()

    def put_config(self, raw: bytes) -> None:
        """Write the configuration, as the operator does."""
        self.put('op/config', raw)

    def evacuate(self, zone: str) -> None:
        """Evacuate a zone, as the operator does."""
        self.put(f'op/evacuate/{zone}', b'{}')

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone, as the operator does."""
        self.remove(f'op/evacuate/{zone}')

    def put_server(self, upstream: str, raw: bytes) -> None:
        """Write an upstream's entry, as the upstream does."""
        self.put(f'servers/{upstream}', raw)

    def put_server_if_changed(self, upstream: str, raw: bytes) -> None:
        """Write an upstream's entry if it is absent or differs."""
        item = self.items.get(f'servers/{upstream}')
        if item is None or item.value != raw:
            self.put_server(upstream, raw)

    def remove(self, key: str) -> None:
        """Delete an item if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._history.append((key, self.revision, None, 0))
            self._notify()

    def drop_history(self) -> None:
        """Drop the history of changes and cut the watches."""
        self._history.clear()
        self._oldest_revision = self.revision
        self._watches_cut.set()
        self._watches_cut = asyncio.Event()

    def make_snapshot(self) -> StoreSnapshot:
        """Return a snapshot of the current content."""
        return StoreSnapshot(
            {
                key: dataclasses.replace(entry)
                for key, entry in self.items.items()
            },
            self.revision,
            tuple(self._history),
            self._oldest_revision,
            {
                number: dataclasses.replace(entry)
                for number, entry in self._leases.items()
            },
            self._next_lease,
        )

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Restore a snapshot and lose all later changes.

        New revisions and lease numbers continue from those of the snapshot, so
        those used since the snapshot are reused. The leases in the snapshot
        start with their full time to live. Watches are cut.
        """
        now = asyncio.get_running_loop().time()
        self.era += 1
        self.items = {
            key: dataclasses.replace(entry)
            for key, entry in snapshot.items.items()
        }
        self.revision = snapshot.revision
        self._history = list(snapshot.history)
        self._oldest_revision = snapshot.oldest_revision
        self._leases = {
            number: _Lease(entry.ttl_s, now + entry.ttl_s)
            for number, entry in snapshot.leases.items()
        }
        self._next_lease = snapshot.next_lease
        self._watches_cut.set()
        self._watches_cut = asyncio.Event()

    def revoke_leases(self) -> None:
        """Revoke every lease."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item.lease == lease]
        for key in keys:
            self.remove(key)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease, found in list(self._leases.items()):
            if found.expires_at <= now:
                self._end_lease(lease)

    async def serve(self, reader, writer) -> None:
        """Serve the requests of one connection."""
        while await self._handle_request(reader, writer):
            pass

    async def _handle_request(self, reader, writer) -> bool:
        head = await wire_server.read_head(reader)
        body = await reader.readexactly(head.body_length)
        method = head.method
        path, _, query = head.target.partition('?')
        self.calls[f'{method} /{path.split("/")[1]}'] += 1
        await asyncio.sleep(self.reply_delay_s)
        match self.refusal:
            case Refusal.RESET:
                return False
            case Refusal.SILENT:
                await asyncio.sleep(3600.0)
            case Refusal.BUSY:
                writer.write(_render_json(503, {}, self._sent_era))
                return True
            case Refusal.MANY:
                writer.write(_render_json(429, {}, self._sent_era))
                return True
        self._expire()
        fields = dict(urllib.parse.parse_qsl(query))
        reply = await self._dispatch(method, path, fields, body)
        if reply is None or (self.drop_replies and method == 'POST'):
            return False
        writer.write(_render_json(*reply, self._sent_era))
        return True

    async def _dispatch(
        self, method: str, path: str, fields: dict[str, str], body: bytes
    ) -> tuple[int, dict] | None:
        match method, path.split('/')[1:]:
            case 'GET', ['kv-key']:
                return self._get_item(fields['key'])
            case 'GET', ['kv-range']:
                return self._list_items(fields)
            case 'GET', ['kv-watch']:
                return await self._watch(fields)
            case 'POST', ['kv-txn']:
                return self._commit(msgspec.json.decode(body))
            case 'POST', ['kv-lease']:
                return self._grant(msgspec.json.decode(body)['ttl_ms'])
            case 'POST', ['kv-keep', lease]:
                return self._renew(int(lease))
            case 'DELETE', ['kv-lease-end', lease]:
                self._end_lease(int(lease))
                return 200, {}
        return 404, {}

    def _encode_item(self, key: str) -> dict:
        item = self.items[key]
        value = base64.b64encode(item.value).decode()
        return {
            'key': key,
            'value': '*' if key in self.corrupt_keys else value,
            'revision': item.revision,
            'created_revision': item.created_revision,
            'lease_id': item.lease,
        }

    def _get_item(self, key: str) -> tuple[int, dict]:
        if key not in self.items:
            return 404, {}
        return 200, {**self._encode_item(key), 'at_revision': self.revision}

    def _list_items(self, fields: dict[str, str]) -> tuple[int, dict]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields['prefix'])
            and key > fields.get('after', '')
        )
        items = [self._encode_item(key) for key in keys[: self.page]]
        return 200, {
            'items': items,
            'has_more': len(keys) > self.page,
            'at_revision': self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> tuple[int, dict] | None:
        after = int(fields['after'])
        if not self._oldest_revision <= after <= self.revision:
            return 410, {}
        cut = asyncio.ensure_future(self._watches_cut.wait())
        try:
            async with asyncio.timeout(int(fields['wait_ms']) / 1000):
                while not cut.done():
                    events = self._list_events(fields['prefix'], after)
                    if events:
                        return 200, {
                            'events': events,
                            'at_revision': self.revision,
                        }
                    await self._wait_for_change(cut)
            return None
        except TimeoutError:
            return 200, {'events': [], 'at_revision': self.revision}
        finally:
            cut.cancel()

    async def _wait_for_change(self, cut: asyncio.Future) -> None:
        changed = asyncio.ensure_future(self._changed.wait())
        try:
            await asyncio.wait({cut, changed}, return_when='FIRST_COMPLETED')
        finally:
            changed.cancel()

    def _list_events(self, prefix: str, after: int) -> list[dict]:
        if self.drops_watch_events:
            return []
        events = []
        for key, revision, value, lease in self._history:
            if revision <= after or not key.startswith(prefix):
                continue
            if value is None:
                # The protocol marks a deletion by this field; it has nothing
                # to do with the compaction of the history.
                event = {'key': key, 'revision': revision, 'compacted': True}
            else:
                event = {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'revision': revision,
                    'created_revision': revision,
                    'lease_id': lease,
                }
            events.append(event)
        return events

    def _commit(self, request: dict) -> tuple[int, dict]:
        for row in request.get('expected_revision', []):
            item = self.items.get(row['key'])
            found = item.revision if item is not None else 0
            if found != row['revision']:
                current_items = [
                    self._encode_item(each['key'])
                    for each in request['expected_revision']
                    if each['key'] in self.items
                ]
                return 412, {'items': current_items}
        writes = request.get('writes', [])
        if any(
            each.get('lease_id') and each['lease_id'] not in self._leases
            for each in writes
        ):
            return 404, {}
        for each in writes:
            value = base64.b64decode(each['value'])
            self.put(each['key'], value, each.get('lease_id', 0))
        for key in request.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}

    def _grant(self, ttl_ms: int) -> tuple[int, dict]:
        lease = self._next_lease
        self._next_lease += 1
        now = asyncio.get_running_loop().time()
        self._leases[lease] = _Lease(ttl_ms / 1000, now + ttl_ms / 1000)
        return 200, {'lease_id': lease, 'ttl_ms': ttl_ms}

    def _renew(self, lease: int) -> tuple[int, dict]:
        found = self._leases.get(lease)
        if found is None:
            return 404, {}
        now = asyncio.get_running_loop().time()
        found.expires_at = now + found.ttl_s
        return 200, {'ttl_ms': round(found.ttl_s * 1000)}


def _render_json(status: int, fields: dict, era: str) -> bytes:
    headers = [
        (b'content-type', b'application/json'),
        (b'store-era', era.encode()),
    ]
    reply = gateway.Reply(status, headers, msgspec.json.encode(fields))
    return gateway.render_reply(reply, close=False)
