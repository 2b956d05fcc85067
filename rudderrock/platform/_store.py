"""The platform's store: its calls, and the gateway's source made of them."""

import dataclasses
import urllib.parse

from absl import logging
import msgspec
import result

from rudderrock import core
from rudderrock import gateway
from rudderrock.platform import _decode as decode

# How long a call may take, in seconds. The store answers in milliseconds,
# and in some 0.3 s when it is slow.
CALL_TIMEOUT_S = 1.0
# How much longer than it was asked to wait a watch may take, in seconds.
WATCH_SLACK_S = 1.0
# All that operators write, the configuration, and a key for each zone that is
# evacuated. One watch tells of them all.
_OPERATORS_PREFIX = 'op/'
_CONFIG_KEY = 'op/config'
_EVACUATIONS_PREFIX = 'op/evacuate/'
_SERVERS_PREFIX = 'servers/'
# Where rudderrock keeps what is its own.
_HOSTS_PREFIX = 'rudderrock/hosts/'
# In each answer: counts how often the store has come back from a copy. A store
# that does not say has never done so.
_ERA_HEADER = b'store-era'


class _Item(msgspec.Struct):
    key: str
    value: str = ''
    # The revision of the item's last change.
    revision: int = 0
    created_revision: int = 0
    lease_id: int = 0
    # Only in an event: the item has been deleted, or its history dropped.
    compacted: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    at_revision: int


class _Events(msgspec.Struct):
    events: list[_Item]
    at_revision: int


class _Lease(msgspec.Struct):
    lease_id: int
    ttl_ms: int


class StoreSource:
    """Routes and upstreams, read from the platform's store."""

    def __init__(self, address: tuple[str, int]):
        self.caller = gateway.HttpCaller(address)

    async def read_table(
        self,
    ) -> result.Result[gateway.TableReading, gateway.Unavailable]:
        """Return the newest configuration and the evacuated zones."""
        listed = await self._list_items(_OPERATORS_PREFIX)
        if listed.is_err():
            return listed
        items, read = listed.ok_value
        found = gateway.TableReading(None, read)
        for item in items:
            if item.key == _CONFIG_KEY:
                found = self._make_table_reading(item, read)
        evacuated = {
            core.ZoneId(
                item.key.removeprefix(_EVACUATIONS_PREFIX)
            ): item.revision
            for item in items
            if item.key.startswith(_EVACUATIONS_PREFIX)
        }
        return result.Ok(dataclasses.replace(found, evacuated=evacuated))

    async def watch_table(
        self, after: gateway.Position, wait_s: float
    ) -> result.Result[
        gateway.TableReading | None,
        gateway.Unavailable | gateway.HistoryGone,
    ]:
        """Wait for what operators write after a position.

        Where that is about evacuations, all is read again: an event tells of
        one key only.
        """
        target = _make_target(
            '/kv-watch',
            prefix=_OPERATORS_PREFIX,
            after=str(after.revision),
            wait_ms=str(round(wait_s * 1000)),
        )
        answer = await self._get(
            target, wait_s + WATCH_SLACK_S, allowed=(200, 410)
        )
        match answer:
            case result.Err():
                return answer
            case result.Ok(reply) if reply.status == 410:
                return result.Err(gateway.HistoryGone())
        match _decode_era(answer.ok_value):
            case result.Err() as failed:
                return failed
            case result.Ok(era) if era != after.era:
                # The store has given the revision out again, so it can't
                # tell that what came before it is another history.
                return result.Err(gateway.HistoryGone())
        match _decode_body(answer.ok_value, _Events):
            case result.Err() as failed:
                return failed
            case result.Ok(found):
                read = gateway.Position(after.era, found.at_revision)
        if any(
            event.key.startswith(_EVACUATIONS_PREFIX) for event in found.events
        ):
            return await self.read_table()
        return result.Ok(self._pick_newest(found, read))

    async def list_upstreams(
        self,
    ) -> result.Result[gateway.UpstreamReading, gateway.Unavailable]:
        """Return all registered upstreams, page by page."""
        listed = await self._list_items(_SERVERS_PREFIX)
        if listed.is_err():
            return listed
        items, read = listed.ok_value
        endpoints: list[gateway.Endpoint] = []
        problems: list[str] = []
        for item in items:
            match _decode_server(item):
                case result.Ok(endpoint):
                    endpoints.append(endpoint)
                case result.Err(problem):
                    problems.append(problem)
        return result.Ok(
            gateway.UpstreamReading(tuple(endpoints), read, tuple(problems))
        )

    def close(self) -> None:
        """Close the connections to the store."""
        self.caller.close()

    def decode_table(
        self, raw: bytes, read: gateway.Position
    ) -> gateway.TableReading:
        """Return a configuration that another host has read."""
        match decode.decode_table(raw):
            case result.Ok(table):
                return gateway.TableReading(table, read, raw=raw)
            case result.Err(problem):
                return gateway.TableReading(None, read, problem)

    async def list_hosts(
        self,
    ) -> result.Result[list[gateway.HostEntry], gateway.Unavailable]:
        """Return all registered hosts."""
        listed = await self._list_items(_HOSTS_PREFIX)
        if listed.is_err():
            return listed
        found: list[gateway.HostEntry] = []
        for item in listed.ok_value[0]:
            try:
                raw = decode.decode_value(item.value)
                entry = msgspec.json.decode(raw, type=gateway.HostEntry)
            except (*decode.BAD_VALUE, msgspec.DecodeError) as error:
                # One bad entry must not hide the others.
                logging.warning('%s can not be read: %s', item.key, error)
                continue
            found.append(entry)
        return result.Ok(found)

    async def register(
        self, entry: gateway.HostEntry, ttl_s: float
    ) -> result.Result[gateway.Lease, gateway.Unavailable]:
        """Write a host's entry under a new lease."""
        body = msgspec.json.encode({'ttl_ms': round(ttl_s * 1000)})
        answer = await self._call(b'POST', b'/kv-lease', body)
        if answer.is_err():
            return answer
        granted = _decode_body(answer.ok_value, _Lease)
        if granted.is_err():
            return granted
        number = granted.ok_value.lease_id
        write = {
            'key': f'{_HOSTS_PREFIX}{entry.host}',
            'value': decode.encode_value(msgspec.json.encode(entry)),
            'lease_id': number,
        }
        body = msgspec.json.encode(
            {'expected_revision': [], 'writes': [write], 'deletes': []}
        )
        written = await self._call(b'POST', b'/kv-txn', body)
        if written.is_err():
            return written
        eras = _decode_era(answer.ok_value), _decode_era(written.ok_value)
        match eras:
            case result.Ok(era), result.Ok(after) if era == after:
                return result.Ok(gateway.Lease(era, number))
        # The number may be another's, and so the entry hang on its lease.
        return result.Err(gateway.Unavailable('back from a copy'))

    async def find_lease(
        self, host: core.HostId
    ) -> result.Result[gateway.Lease | None, gateway.Unavailable]:
        """Return the lease that a host's entry hangs on, if it has one."""
        target = _make_target('/kv-key', key=f'{_HOSTS_PREFIX}{host}')
        answer = await self._get(target, CALL_TIMEOUT_S)
        if answer.is_err():
            return answer
        reply = answer.ok_value
        if reply.status == 404:
            return result.Ok(None)
        return _decode_era(reply).and_then(
            lambda era: _decode_body(reply, _Item).map(
                lambda item: gateway.Lease(era, item.lease_id)
            )
        )

    async def renew(
        self, lease: gateway.Lease
    ) -> result.Result[
        None,
        gateway.Unavailable | gateway.LeaseEnded | gateway.SourceReturned,
    ]:
        """Prolong a lease by its time to live."""
        target = b'/kv-keep/%d' % lease.number
        answer = await self._call(b'POST', target, b'', allowed=(200, 404))
        match answer:
            case result.Err():
                return answer
            case result.Ok(reply) if reply.status == 404:
                return result.Err(gateway.LeaseEnded())
        match _decode_era(answer.ok_value):
            case result.Err() as failed:
                return failed
            case result.Ok(era) if era != lease.era:
                return result.Err(gateway.SourceReturned())
        return result.Ok(None)

    async def withdraw(
        self, lease: gateway.Lease
    ) -> result.Result[None, gateway.Unavailable]:
        """End a lease; one that has ended already is as good."""
        target = b'/kv-lease-end/%d' % lease.number
        answer = await self._call(b'DELETE', target, b'', allowed=(200, 404))
        return answer if answer.is_err() else result.Ok(None)

    def _make_table_reading(
        self, item: _Item, read: gateway.Position
    ) -> gateway.TableReading:
        try:
            raw = decode.decode_value(item.value)
        except decode.BAD_VALUE as error:
            return gateway.TableReading(None, read, str(error))
        return self.decode_table(raw, read)

    def _pick_newest(
        self, found: _Events, read: gateway.Position
    ) -> gateway.TableReading | None:
        if not found.events:
            return None
        written = [
            event
            for event in found.events
            if event.key == _CONFIG_KEY and not event.compacted
        ]
        if not written:
            # About other keys of operators; the next watch begins after them.
            return gateway.TableReading(None, read)
        return self._make_table_reading(written[-1], read)

    async def _list_items(
        self, prefix: str
    ) -> result.Result[
        tuple[list[_Item], gateway.Position], gateway.Unavailable
    ]:
        """Return all items of a prefix and where the first page was read."""
        items: list[_Item] = []
        after = ''
        first: gateway.Position | None = None
        while True:
            match await self._read_page(prefix, after):
                case result.Err() as failed:
                    return failed
                case result.Ok((page, read)):
                    first = first or read
            if read.era != first.era:
                # Pages of two histories are no listing of either.
                return result.Err(gateway.Unavailable('back from a copy'))
            items += page.items
            if not page.has_more or not page.items:
                return result.Ok((items, first))
            after = page.items[-1].key

    async def _read_page(
        self, prefix: str, after: str
    ) -> result.Result[tuple[_Page, gateway.Position], gateway.Unavailable]:
        query = {'prefix': prefix}
        if after:
            query['after'] = after
        answer = await self._get(
            _make_target('/kv-range', **query), CALL_TIMEOUT_S
        )
        if answer.is_err():
            return answer
        reply = answer.ok_value
        return _decode_era(reply).and_then(
            lambda era: _decode_body(reply, _Page).map(
                lambda page: (page, gateway.Position(era, page.at_revision))
            )
        )

    async def _get(
        self,
        target: bytes,
        timeout_s: float,
        allowed: tuple[int, ...] = (200, 404),
    ) -> result.Result[gateway.Reply, gateway.Unavailable]:
        return await self._call(b'GET', target, b'', timeout_s, allowed)

    async def _call(
        self,
        method: bytes,
        target: bytes,
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
        allowed: tuple[int, ...] = (200,),
    ) -> result.Result[gateway.Reply, gateway.Unavailable]:
        answer = await self.caller.call(method, target, body, timeout_s)
        match answer:
            case result.Err(problem):
                return result.Err(gateway.Unavailable(problem.detail))
            case result.Ok(reply) if reply.status not in allowed:
                return result.Err(
                    gateway.Unavailable(f'status {reply.status}')
                )
        return answer


def _make_target(path: str, **query: str) -> bytes:
    text = urllib.parse.urlencode(query, quote_via=urllib.parse.quote)
    return f'{path}?{text}'.encode('ascii')


def _decode_body(reply: gateway.Reply, kind: type):
    try:
        return result.Ok(msgspec.json.decode(reply.body, type=kind))
    except msgspec.DecodeError as error:
        return result.Err(gateway.Unavailable(f'unreadable: {error}'))


def _decode_era(
    reply: gateway.Reply,
) -> result.Result[int, gateway.Unavailable]:
    """Return the era that an answer names, 0 if it names none."""
    raw = reply.get_header(_ERA_HEADER)
    if raw is None:
        return result.Ok(0)
    if not raw.isdigit():
        return result.Err(gateway.Unavailable(f'unreadable era: {raw!r}'))
    return result.Ok(int(raw))


def _decode_server(item: _Item) -> result.Result[gateway.Endpoint, str]:
    try:
        raw = decode.decode_value(item.value)
    except decode.BAD_VALUE as error:
        return result.Err(f'{item.key}: {error}')
    return decode.decode_upstream(item.key.removeprefix(_SERVERS_PREFIX), raw)
