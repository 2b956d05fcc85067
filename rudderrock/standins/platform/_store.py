"""A stand-in of the platform's store, in memory, with its failures."""

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
    """How the store treats calls."""

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    RESET = 'reset'
    SILENT = 'silent'


@dataclasses.dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_s: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """All that the store held at one moment."""

    items: dict[str, _Item]
    revision: int
    history: tuple[tuple[str, int, bytes | None, int], ...]
    oldest: int
    leases: dict[int, _Lease]
    next_lease: int


class PlatformStore(wire_server.WireServer):
    """Items, watches, conditional writes and leases behind HTTP.

    `refusal` applies to all callers, `slow_s` delays each answer,
    `lose_answers` executes writes and answers none of them, `page` is the
    number of items in a page of a range.
    """

    def __init__(self, page: int = 500):
        super().__init__()
        self.refusal = Refusal.NONE
        self.slow_s = 0.0
        self.lose_answers = False
        self.is_deaf = False
        self.page = page
        self.calls: collections.Counter[str] = collections.Counter()
        self.items: dict[str, _Item] = {}
        # Keys whose values are shown as what is not base64.
        self.spoilt: set[str] = set()
        self.revision = 0
        # Rises each time the store comes back from a copy.
        self.era = 0
        # What the store says its era is, if that is no number.
        self.era_text = ''
        self._history: list[tuple[str, int, bytes | None, int]] = []
        self._oldest = 0
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._cuts = asyncio.Event()

    @property
    def _era_text(self) -> str:
        return self.era_text or str(self.era)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item, as the operator or an upstream does."""
        self.revision += 1
        old = self.items.get(key)
        created = old.created if old is not None else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self._history.append((key, self.revision, value, lease))
        self._notify()

    def put_config(self, raw: bytes) -> None:
        """Write the configuration, as the operator does."""
        self.put('op/config', raw)

    def evacuate(self, zone: str) -> None:
        """Evacuate a zone, as the operator does."""
        self.put(f'op/evacuate/{zone}', b'{}')

    def give_back(self, zone: str) -> None:
        """Take an evacuation back, as the operator does."""
        self.remove(f'op/evacuate/{zone}')

    def put_server(self, upstream: str, raw: bytes) -> None:
        """Write an upstream's entry, as the upstream does."""
        self.put(f'servers/{upstream}', raw)

    def put_server_if_new(self, upstream: str, raw: bytes) -> None:
        """Write an upstream's entry unless it is there as it is."""
        item = self.items.get(f'servers/{upstream}')
        if item is None or item.value != raw:
            self.put_server(upstream, raw)

    def remove(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._history.append((key, self.revision, None, 0))
            self._notify()

    def drop_history(self) -> None:
        """Forget all changes so far and cut the watches."""
        self._history.clear()
        self._oldest = self.revision
        self._cuts.set()
        self._cuts = asyncio.Event()

    def make_copy(self) -> StoreCopy:
        """Return a copy of all that is held now."""
        return StoreCopy(
            {key: dataclasses.replace(it) for key, it in self.items.items()},
            self.revision,
            tuple(self._history),
            self._oldest,
            {
                name: dataclasses.replace(it)
                for name, it in self._leases.items()
            },
            self._next_lease,
        )

    def come_back(self, copy: StoreCopy) -> None:
        """Hold what a copy held, and nothing that came after it.

        Revisions and leases are given out again from where the copy stands,
        and the leases in it begin anew. Watches are cut.
        """
        now = asyncio.get_running_loop().time()
        self.era += 1
        self.items = {
            key: dataclasses.replace(it) for key, it in copy.items.items()
        }
        self.revision = copy.revision
        self._history = list(copy.history)
        self._oldest = copy.oldest
        self._leases = {
            name: _Lease(it.ttl_s, now + it.ttl_s)
            for name, it in copy.leases.items()
        }
        self._next_lease = copy.next_lease
        self._cuts.set()
        self._cuts = asyncio.Event()

    def revoke_leases(self) -> None:
        """End every lease at once."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        held = [key for key, item in self.items.items() if item.lease == lease]
        for key in held:
            self.remove(key)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease, found in list(self._leases.items()):
            if found.until <= now:
                self._end_lease(lease)

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        while await self._serve_one(reader, writer):
            pass

    async def _serve_one(self, reader, writer) -> bool:
        head = await wire_server.read_head(reader)
        body = await reader.readexactly(head.body_length)
        method = head.method
        path, _, query = head.target.partition('?')
        self.calls[f'{method} /{path.split("/")[1]}'] += 1
        await asyncio.sleep(self.slow_s)
        match self.refusal:
            case Refusal.RESET:
                return False
            case Refusal.SILENT:
                await asyncio.sleep(3600.0)
            case Refusal.BUSY:
                writer.write(_make(503, {}, self._era_text))
                return True
            case Refusal.MANY:
                writer.write(_make(429, {}, self._era_text))
                return True
        self._expire()
        fields = dict(urllib.parse.parse_qsl(query))
        found = await self._treat(method, path, fields, body)
        if found is None or (self.lose_answers and method == 'POST'):
            return False
        writer.write(_make(*found, self._era_text))
        return True

    async def _treat(
        self, method: str, path: str, fields: dict[str, str], body: bytes
    ) -> tuple[int, dict] | None:
        match method, path.split('/')[1:]:
            case 'GET', ['kv-key']:
                return self._get(fields['key'])
            case 'GET', ['kv-range']:
                return self._list(fields)
            case 'GET', ['kv-watch']:
                return await self._watch(fields)
            case 'POST', ['kv-txn']:
                return self._commit(msgspec.json.decode(body))
            case 'POST', ['kv-lease']:
                return self._grant(msgspec.json.decode(body)['ttl_ms'])
            case 'POST', ['kv-keep', lease]:
                return self._keep(int(lease))
            case 'DELETE', ['kv-lease-end', lease]:
                self._end_lease(int(lease))
                return 200, {}
        return 404, {}

    def _show(self, key: str) -> dict:
        item = self.items[key]
        value = base64.b64encode(item.value).decode()
        return {
            'key': key,
            'value': '*' if key in self.spoilt else value,
            'revision': item.revision,
            'created_revision': item.created,
            'lease_id': item.lease,
        }

    def _get(self, key: str) -> tuple[int, dict]:
        if key not in self.items:
            return 404, {}
        return 200, {**self._show(key), 'at_revision': self.revision}

    def _list(self, fields: dict[str, str]) -> tuple[int, dict]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields['prefix'])
            and key > fields.get('after', '')
        )
        items = [self._show(key) for key in keys[: self.page]]
        return 200, {
            'items': items,
            'has_more': len(keys) > self.page,
            'at_revision': self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> tuple[int, dict] | None:
        after = int(fields['after'])
        if not self._oldest <= after <= self.revision:
            return 410, {}
        cut = asyncio.ensure_future(self._cuts.wait())
        try:
            async with asyncio.timeout(int(fields['wait_ms']) / 1000):
                while not cut.done():
                    found = self._list_events(fields['prefix'], after)
                    if found:
                        return 200, {
                            'events': found,
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
        if self.is_deaf:
            return []
        events = []
        for key, revision, value, lease in self._history:
            if revision <= after or not key.startswith(prefix):
                continue
            if value is None:
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
                shown = [
                    self._show(each['key'])
                    for each in request['expected_revision']
                    if each['key'] in self.items
                ]
                return 412, {'items': shown}
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

    def _keep(self, lease: int) -> tuple[int, dict]:
        found = self._leases.get(lease)
        if found is None:
            return 404, {}
        now = asyncio.get_running_loop().time()
        found.until = now + found.ttl_s
        return 200, {'ttl_ms': round(found.ttl_s * 1000)}


def _make(status: int, fields: dict, era: str) -> bytes:
    headers = [
        (b'content-type', b'application/json'),
        (b'store-era', era.encode()),
    ]
    reply = gateway.Reply(status, headers, msgspec.json.encode(fields))
    return gateway.render_reply(reply, close=False)
