"""Client of the platform's store that implements the gateway's source."""

from collections.abc import Callable
import dataclasses
from typing import TypeVar
import urllib.parse

import msgspec
import result

from rudderrock import core
from rudderrock import gateway
from rudderrock.platform import _decode as decode

# The store usually answers within milliseconds, and within about 0.3 s when it
# is slow.
CALL_TIMEOUT_S = 1.0
# Time that a watch may take in addition to the requested wait.
WATCH_SLACK_S = 1.0
# Operators write all their keys under one prefix, so that a single watch
# covers them: the configuration, and one key for each evacuated zone.
_OPERATORS_PREFIX = 'op/'
_CONFIG_KEY = 'op/config'
_EVACUATIONS_PREFIX = 'op/evacuate/'
_SERVERS_PREFIX = 'servers/'
# The entries of rudderrock's own hosts.
_HOSTS_PREFIX = 'rudderrock/hosts/'
# The records of requests that crash upstreams, by digest.
_QUARANTINE_PREFIX = 'rudderrock/quarantine/'
# Response header with the number of times that the store has been restored
# from a snapshot. A store that does not send it has never been restored.
_ERA_HEADER = b'store-era'
_MAX_ERA_BYTES = 32
_Entry = TypeVar('_Entry')


# Maximum size of an entry's text, except for the configuration. Those of
# upstreams, hosts and quarantined requests are at most a few KB.
_MAX_ENTRY_BYTES = 64 * 1024
# Maximum size of all keys and entries of a prefix, several times what the
# largest deployment has.
_MAX_LISTED_BYTES = 32 * 1024 * 1024


class _Item(msgspec.Struct):
    key: str
    value: str = ''
    # The revision of the item's last change.
    revision: gateway.Count = 0
    created_revision: gateway.Count = 0
    lease_id: gateway.Count = 0
    # Used in events only: the item was deleted, or its history was dropped.
    compacted: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    at_revision: gateway.Count


class _Events(msgspec.Struct):
    events: list[_Item]
    at_revision: gateway.Count


class _Lease(msgspec.Struct):
    lease_id: gateway.Count
    ttl_ms: gateway.Count


class StoreSource:
    """Source of routes, upstreams and hosts in the platform's store."""

    def __init__(self, address: tuple[str, int]):
        self.client = gateway.HttpClient(address)

    async def read_table(
        self,
    ) -> result.Result[gateway.TableReading, gateway.Unavailable]:
        """Return the current configuration and the evacuated zones."""
        listed = await self._list_items(_OPERATORS_PREFIX)
        if listed.is_err():
            return listed
        items, position = listed.ok_value
        reading = gateway.TableReading(None, position)
        for item in items:
            if item.key == _CONFIG_KEY:
                reading = self._decode_config(item, position)
        written = [
            item for item in items if item.key.startswith(_EVACUATIONS_PREFIX)
        ]
        zones, rejected = _decode_entries(
            written, _EVACUATIONS_PREFIX, decode.decode_zone
        )
        revisions = {item.key: item.revision for item in written}
        evacuated = {
            zone: revisions[f'{_EVACUATIONS_PREFIX}{zone}'] for zone in zones
        }
        return result.Ok(
            dataclasses.replace(
                reading, evacuated=evacuated, rejected=rejected
            )
        )

    async def watch_table(
        self, after: gateway.Position, wait_s: float
    ) -> result.Result[
        gateway.TableReading | None,
        gateway.Unavailable | gateway.HistoryCompacted,
    ]:
        """Return what operators have written after a position, or None.

        The call waits up to `wait_s` seconds for a change. If the change
        concerns evacuations, all keys are read again, because an event
        contains a single key only.
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
                return result.Err(gateway.HistoryCompacted())
        match _decode_era(answer.ok_value):
            case result.Err() as failed:
                return failed
            case result.Ok(era) if era != after.era:
                # After a restore the store assigns the same revisions again,
                # so it can't detect that the position belongs to another
                # history.
                return result.Err(gateway.HistoryCompacted())
        match _decode_body(answer.ok_value, _Events):
            case result.Err() as failed:
                return failed
            case result.Ok(changes):
                position = gateway.Position(after.era, changes.at_revision)
        if any(
            event.key.startswith(_EVACUATIONS_PREFIX)
            for event in changes.events
        ):
            return await self.read_table()
        return result.Ok(self._decode_newest_config(changes, position))

    async def list_upstreams(
        self,
    ) -> result.Result[gateway.UpstreamReading, gateway.Unavailable]:
        """Return all registered upstreams."""
        listed = await self._list_items(_SERVERS_PREFIX)
        if listed.is_err():
            return listed
        items, position = listed.ok_value
        endpoints, problems = _decode_entries(
            items, _SERVERS_PREFIX, decode.decode_upstream
        )
        return result.Ok(
            gateway.UpstreamReading(endpoints, position, problems)
        )

    def close(self) -> None:
        """Close the connections to the store."""
        self.client.close()

    def decode_table(
        self, raw: bytes, read: gateway.Position
    ) -> gateway.TableReading:
        """Return the reading of a configuration.

        `raw` was read from the store at the position `read`, by this host or
        by another one.
        """
        match decode.decode_table(raw):
            case result.Ok(table):
                return gateway.TableReading(table, read, raw=raw)
            case result.Err(problem):
                return gateway.TableReading(None, read, problem)

    async def list_hosts(
        self,
    ) -> result.Result[gateway.HostReading, gateway.Unavailable]:
        """Return all registered hosts."""
        listed = await self._list_items(_HOSTS_PREFIX)
        if listed.is_err():
            return listed
        hosts, problems = _decode_entries(
            listed.ok_value[0], _HOSTS_PREFIX, decode.decode_host
        )
        return result.Ok(gateway.HostReading(hosts, problems))

    async def register(
        self, entry: gateway.HostEntry, ttl_s: float
    ) -> result.Result[gateway.Lease, gateway.Unavailable]:
        """Grant a new lease and write the entry of a host under it."""
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
        # After a restore the store may have granted the same lease number to
        # another host, and the entry would depend on that lease.
        return result.Err(gateway.Unavailable('back from a copy'))

    async def find_lease(
        self, host: core.HostId
    ) -> result.Result[gateway.Lease | None, gateway.Unavailable]:
        """Return the lease of a host's entry, or None without an entry."""
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
        gateway.Unavailable | gateway.LeaseEnded | gateway.SourceRestored,
    ]:
        """Renew a lease for its time to live."""
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
                return result.Err(gateway.SourceRestored())
        return result.Ok(None)

    async def withdraw(
        self, lease: gateway.Lease
    ) -> result.Result[None, gateway.Unavailable]:
        """Revoke a lease; a lease that has already ended is no error."""
        target = b'/kv-lease-end/%d' % lease.number
        answer = await self._call(b'DELETE', target, b'', allowed=(200, 404))
        return answer if answer.is_err() else result.Ok(None)

    async def list_saved_records(
        self,
    ) -> result.Result[gateway.SavedReading, gateway.Unavailable]:
        """Return the saved quarantine records."""
        listed = await self._list_items(_QUARANTINE_PREFIX)
        if listed.is_err():
            return listed
        records, problems = _decode_entries(
            listed.ok_value[0], _QUARANTINE_PREFIX, decode.decode_record
        )
        return result.Ok(gateway.SavedReading(records, problems))

    async def save_records(
        self, written: list[gateway.SavedRecord], removed: list[str]
    ) -> result.Result[None, gateway.Unavailable]:
        """Write quarantine records, and delete those of other digests."""
        writes = [
            {
                'key': f'{_QUARANTINE_PREFIX}{each.record.digest}',
                'value': decode.encode_value(msgspec.json.encode(each)),
                'lease_id': 0,
            }
            for each in written
        ]
        deletes = [f'{_QUARANTINE_PREFIX}{digest}' for digest in removed]
        body = msgspec.json.encode(
            {'expected_revision': [], 'writes': writes, 'deletes': deletes}
        )
        answer = await self._call(b'POST', b'/kv-txn', body)
        return answer if answer.is_err() else result.Ok(None)

    def _decode_config(
        self, item: _Item, position: gateway.Position
    ) -> gateway.TableReading:
        try:
            raw = decode.decode_value(item.value)
        except decode.BAD_VALUE as error:
            return gateway.TableReading(None, position, str(error))
        return self.decode_table(decode.replace_keys(raw), position)

    def _decode_newest_config(
        self, changes: _Events, position: gateway.Position
    ) -> gateway.TableReading | None:
        if not changes.events:
            return None
        written = [
            event
            for event in changes.events
            if event.key == _CONFIG_KEY and not event.compacted
        ]
        if not written:
            # Only other keys have changed. The next watch starts after them.
            return gateway.TableReading(None, position)
        return self._decode_config(written[-1], position)

    async def _list_items(
        self, prefix: str
    ) -> result.Result[
        tuple[list[_Item], gateway.Position], gateway.Unavailable
    ]:
        """Return all items of a prefix and the position of the first page.

        Other writers may leave any number of entries of any size. One that is
        too large loses its value, which makes it invalid.
        """
        items: list[_Item] = []
        size = 0
        after = ''
        first: gateway.Position | None = None
        while True:
            match await self._read_page(prefix, after):
                case result.Err() as failed:
                    return failed
                case result.Ok((page, position)):
                    first = first or position
            if position.era != first.era:
                # Pages of different histories can't be combined.
                return result.Err(gateway.Unavailable('back from a copy'))
            for item in page.items:
                if (
                    len(item.value) > _MAX_ENTRY_BYTES
                    and item.key != _CONFIG_KEY
                ):
                    item.value = ''
                size += len(item.key) + len(item.value)
            if size > _MAX_LISTED_BYTES:
                return result.Err(
                    gateway.Unavailable(f'too many entries under {prefix}')
                )
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
        answer = await self.client.call(method, target, body, timeout_s)
        match answer:
            case result.Err(problem):
                return result.Err(gateway.Unavailable(problem.detail))
            case result.Ok(reply) if reply.status not in allowed:
                return result.Err(
                    gateway.Unavailable(f'status {reply.status}')
                )
        return answer


def _decode_entries(
    items: list[_Item],
    prefix: str,
    decode_entry: Callable[[str, bytes], result.Result[_Entry, str]],
) -> tuple[tuple[_Entry, ...], tuple[str, ...]]:
    """Return the entries of a prefix, and why others are left out.

    `decode_entry` decodes the value of a key, which it is given without the
    prefix. An invalid entry must not hide the others.
    """
    entries: list[_Entry] = []
    problems: list[str] = []
    for item in items:
        name = item.key.removeprefix(prefix)
        try:
            raw = decode.decode_value(item.value)
        except decode.BAD_VALUE as error:
            problems.append(gateway.shorten(f'{item.key}: {error}'))
            continue
        match decode_entry(name, raw):
            case result.Ok(entry):
                entries.append(entry)
            case result.Err(problem):
                problems.append(gateway.shorten(f'{item.key}: {problem}'))
    return tuple(entries), tuple(problems)


def _make_target(path: str, **query: str) -> bytes:
    text = urllib.parse.urlencode(query, quote_via=urllib.parse.quote)
    return f'{path}?{text}'.encode('ascii')


def _decode_body(reply: gateway.Reply, kind: type):
    return gateway.decode_json(reply.body, kind).map_err(
        lambda problem: gateway.Unavailable(f'unreadable: {problem}')
    )


def _decode_era(
    reply: gateway.Reply,
) -> result.Result[int, gateway.Unavailable]:
    """Return the era in a reply, 0 if it has none."""
    raw = reply.get_header(_ERA_HEADER)
    if raw is None:
        return result.Ok(0)
    era = core.parse_number(raw)
    if era is None or era == core.MAX_NUMBER:
        return result.Err(
            gateway.Unavailable(f'unreadable era: {raw[:_MAX_ERA_BYTES]!r}')
        )
    return result.Ok(era)
