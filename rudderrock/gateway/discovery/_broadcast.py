"""Replication of quarantine records to all other hosts.

Other shared state spreads from the hosts that read the source to their peers,
which poll for changes. Quarantine records can originate at any host, and every
host needs them before the next copy of a lethal request arrives. The host that
creates a record therefore sends it to all others directly. Records that are
lost on the way are delivered with the replies to polls. A host that reads the
source polls no peer, so it pulls quarantine records from other hosts instead.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import itertools

import msgspec
import result

from rudderrock import core
from rudderrock.gateway import _decoding as decoding
from rudderrock.gateway import _log as log
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _quarantine as quarantine
from rudderrock.gateway.http import _http_client as http_client
from rudderrock.gateway.http import _messages as messages

PATH = b'/v1/quarantine'
# Timeout of one call, in seconds. Allows for a new connection to another
# region and a busy core at the receiver.
CALL_TIMEOUT_S = 1.0
# Delay between attempts, in seconds, and their number. Together they cover
# most periods in which a host is frozen or cut off.
RETRY_DELAY_S = 0.5
MAX_ATTEMPTS = 20
# Maximum number of concurrent calls. With 580 hosts, a round trip of 20 ms and
# a new connection for each, sending to all hosts takes a calculated 0.7 s.
MAX_CONCURRENT_CALLS = 32
# Interval, in seconds, at which a host that reads the source pulls missed
# records from another host. It lacks records that were sent before it
# started, or that the sender stopped retrying while it was frozen or cut off.
# Each pull goes to a different host, since one host may lack the records too,
# for example in a zone that has lost power. A new process has no records and
# pulls more often for two seconds.
PULL_INTERVAL_S = 2.0
STARTUP_PULL_INTERVAL_S = 0.2
_STARTUP_PULLS = 10


class QuarantineBroadcaster:
    """Exchanges quarantine records with the other hosts.

    Parameters: `has_no_peer` returns whether this host polls no peer, so that
    it has to pull quarantine records separately.
    """

    def __init__(
        self,
        known_quarantine: quarantine.Quarantine,
        hosts: fleet.Fleet,
        has_no_peer: Callable[[], bool],
    ):
        self._quarantine = known_quarantine
        self._hosts = hosts
        self._has_no_peer = has_no_peer
        self._sent_generation = 0
        self._has_unsent = asyncio.Event()
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        known_quarantine.add_local_listener(self._has_unsent.set)

    async def run(self) -> None:
        """Send new records to all hosts until cancelled."""
        while True:
            await self._has_unsent.wait()
            self._has_unsent.clear()
            await self._send_to_all()

    async def pull(self) -> None:
        """Pull records from one host after another until cancelled.

        Does nothing while this host polls a peer.
        """
        for number in itertools.count():
            is_starting = number < _STARTUP_PULLS
            await asyncio.sleep(
                STARTUP_PULL_INTERVAL_S if is_starting else PULL_INTERVAL_S
            )
            if not self._has_no_peer():
                continue
            others = self._rank_others()
            if others:
                await self._pull_from(others[number % len(others)].address)

    def _rank_others(self) -> list[fleet.HostEntry]:
        """Return the other hosts in an order specific to this host."""
        own = self._hosts.own.host
        return sorted(
            self._list_others(),
            key=lambda each: fleet.rank_pair(own, each.host),
        )

    async def _pull_from(self, address: str) -> None:
        match await self._call(address, b'GET', b''):
            case result.Ok(reply) if reply.status == 200:
                self._merge_reply(reply.body, address)

    def _merge_reply(self, body: bytes, origin: str) -> None:
        records, problems = _decode_records(body)
        self._quarantine.merge(records, origin)
        if problems:
            log.load_absl_log().warning(
                'Invalid quarantine records from %s: %d, %s',
                origin,
                len(problems),
                problems[0],
            )

    async def _send_to_all(self) -> None:
        """Send new records to all hosts and retry those that don't answer."""
        body = self._render_unsent()
        pending = self._list_addresses()
        for _ in range(MAX_ATTEMPTS):
            pending = await self._send(pending, body)
            if not pending:
                return
            await core.wait_for_event(self._has_unsent, RETRY_DELAY_S)
            if self._has_unsent.is_set():
                self._has_unsent.clear()
                body += self._render_unsent()
                pending = self._list_addresses()
            pending &= self._list_addresses()

    def _list_others(self) -> list[fleet.HostEntry]:
        own = self._hosts.own.host
        return [each for each in self._hosts.list_hosts() if each.host != own]

    def _list_addresses(self) -> set[str]:
        return {each.address for each in self._list_others()}

    def _render_unsent(self) -> bytes:
        records = self._quarantine.list_since(self._sent_generation)
        self._sent_generation = self._quarantine.generation
        return render_records(records)

    async def _send(self, addresses: Iterable[str], body: bytes) -> set[str]:
        """Send `body` to hosts concurrently; return those without a reply."""
        addresses = list(addresses)
        results = await asyncio.gather(
            *(self._send_to_one(each, body) for each in addresses)
        )
        return {
            each
            for each, was_received in zip(addresses, results, strict=True)
            if not was_received
        }

    async def _send_to_one(self, address: str, body: bytes) -> bool:
        match await self._call(address, b'POST', body):
            case result.Ok(reply) if reply.status == 200:
                self._merge_reply(reply.body, address)
                return True
        return False

    async def _call(
        self, address: str, method: bytes, body: bytes
    ) -> result.Result[messages.Reply, http_client.NoReply]:
        async with self._call_slots:
            client = http_client.HttpClient(core.split_address(address), 1)
            try:
                return await client.call(method, PATH, body, CALL_TIMEOUT_S)
            finally:
                client.close()

    def handle(self, request: messages.Request) -> messages.Reply:
        """Handle a request of another host.

        GET returns all records. POST merges the records that are sent and
        returns this host's records of the same requests. Records that can't be
        decoded are left out; the status is 400 if none can.
        """
        records = self._quarantine.list_since(0)
        if request.method == b'GET':
            return messages.Reply(200, [], render_records(records))
        received, problems = _decode_records(request.body)
        if problems and not received:
            return messages.Reply(400, [], problems[0].encode())
        # The sender may have started recently and lack parts of these records,
        # so the reply contains this host's records of the same requests.
        digests = {each.digest for each in received}
        matching = [each for each in records if each.digest in digests]
        self._quarantine.merge(received, 'broadcast')
        return messages.Reply(200, [], render_records(matching))


def render_records(records: Iterable[quarantine.Record]) -> bytes:
    """Return records encoded as lines of JSON."""
    return b''.join(msgspec.json.encode(each) + b'\n' for each in records)


def read_records(lines: bytes) -> list[quarantine.Record]:
    """Return the records that `render_records` has encoded.

    Records that can't be decoded are left out.
    """
    return _decode_records(lines)[0]


def _decode_records(
    lines: bytes,
) -> tuple[list[quarantine.Record], list[str]]:
    """Return the records in lines, and why others can't be decoded."""
    found, rejected = decoding.decode_each(
        filter(None, lines.split(b'\n')), quarantine.Record
    )
    return found, [problem for _, problem in rejected]
