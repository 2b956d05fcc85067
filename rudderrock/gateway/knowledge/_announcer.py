"""Telling all other hosts of requests that upstreams have ended under.

The hosts' questions carry knowledge from those that read the source to the
others. Which requests end upstreams is learnt by any host, and is needed at
all of them before the next copy comes, so the host that has learnt it tells
each of the others itself. What this misses travels with the questions, and a
host that asks no other ones, since it reads the source for them, asks one for
just this.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import itertools

from absl import logging
import msgspec
import result

from rudderrock import core
from rudderrock.gateway.http import _caller as caller
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.knowledge import _fleet as fleet
from rudderrock.gateway.knowledge import _quarantine as quarantine

PATH = b'/v1/quarantine'
# How long a host may take to be told, in seconds: a new connection to another
# region and a busy core.
TELL_TIMEOUT_S = 1.0
# A host that could not be told is told again after so long, and so often:
# longer than hosts are frozen or cut off mostly; seconds.
AGAIN_S = 0.5
MOST_TIMES = 20
# Hosts that are told at the same time. With 580 hosts, a way there and back of
# 20 ms and a new connection each, all are told in some 0.7 s (by sums).
MOST_AT_ONCE = 32
# How often a host that reads the source asks another one what it has missed,
# in seconds: it may just have started, or been frozen or cut off for longer
# than it is told again. One may know as little, such as the other hosts of a
# zone that has lost power, so each time it is another one. In its first two
# seconds a host asks more often, since it knows nothing yet.
ASK_EVERY_S = 2.0
ASK_SOON_S = 0.2
_SOON_TURNS = 10
_DECODER = msgspec.json.Decoder(quarantine.Record)


class Announcer:
    """Tells hosts what this one has learnt, and takes what they tell.

    Parameters: `asks_nobody` tells whether this host has no peer whose
    answers would bring it.
    """

    def __init__(
        self,
        known: quarantine.Quarantine,
        hosts: fleet.Fleet,
        asks_nobody: Callable[[], bool],
    ):
        self._known = known
        self._hosts = hosts
        self._asks_nobody = asks_nobody
        self._told = 0
        self._news = asyncio.Event()
        self._places = asyncio.Semaphore(MOST_AT_ONCE)
        known.add_own_listener(self._news.set)

    async def run(self) -> None:
        """Tell what is new, until cancelled."""
        while True:
            await self._news.wait()
            self._news.clear()
            await self._tell_all()

    async def ask(self) -> None:
        """Ask one host after another what it knows, until cancelled."""
        for turn in itertools.count():
            is_young = turn < _SOON_TURNS
            await asyncio.sleep(ASK_SOON_S if is_young else ASK_EVERY_S)
            if not self._asks_nobody():
                continue
            others = self._rank_others()
            if others:
                await self._ask_one(others[turn % len(others)].address)

    def _rank_others(self) -> list[fleet.HostEntry]:
        """Return the other hosts in an order of this host's own."""
        own = self._hosts.own.host
        return sorted(
            self._list_others(),
            key=lambda each: fleet.rank_pair(own, each.host),
        )

    async def _ask_one(self, address: str) -> None:
        match await self._call(address, b'GET', b''):
            case result.Ok(reply) if reply.status == 200:
                self._take_over(reply.body, address)

    def _take_over(self, body: bytes, origin: str) -> None:
        try:
            self._known.merge(read_records(body), origin)
        except msgspec.DecodeError as error:
            logging.warning('%s sends what can not be read: %s', origin, error)

    async def _tell_all(self) -> None:
        """Tell all hosts, those again that did not answer."""
        body = self._render_news()
        waiting = self._list_addresses()
        for _ in range(MOST_TIMES):
            waiting = await self._tell(waiting, body)
            if not waiting:
                return
            await core.wait_for_event(self._news, AGAIN_S)
            if self._news.is_set():
                self._news.clear()
                body += self._render_news()
                waiting = self._list_addresses()
            waiting &= self._list_addresses()

    def _list_others(self) -> list[fleet.HostEntry]:
        own = self._hosts.own.host
        return [each for each in self._hosts.list_hosts() if each.host != own]

    def _list_addresses(self) -> set[str]:
        return {each.address for each in self._list_others()}

    def _render_news(self) -> bytes:
        records = self._known.list_since(self._told)
        self._told = self._known.generation
        return render_records(records)

    async def _tell(self, addresses: Iterable[str], body: bytes) -> set[str]:
        """Tell hosts at once; return those that did not answer."""
        addresses = list(addresses)
        done = await asyncio.gather(
            *(self._tell_one(each, body) for each in addresses)
        )
        return {
            each
            for each, was_told in zip(addresses, done, strict=True)
            if not was_told
        }

    async def _tell_one(self, address: str, body: bytes) -> bool:
        match await self._call(address, b'POST', body):
            case result.Ok(reply) if reply.status == 200:
                self._take_over(reply.body, address)
                return True
        return False

    async def _call(
        self, address: str, method: bytes, body: bytes
    ) -> result.Result[messages.Reply, caller.NoReply]:
        async with self._places:
            client = caller.HttpCaller(core.split_address(address), 1)
            try:
                return await client.call(method, PATH, body, TELL_TIMEOUT_S)
            finally:
                client.close()

    def take(self, request: messages.Request) -> messages.Reply:
        """Take what another host tells, and answer what is known of that.

        One that asks gets all. Answers 400 to what can't be read.
        """
        records = self._known.list_since(0)
        if request.method == b'GET':
            return messages.Reply(200, [], render_records(records))
        try:
            found = read_records(request.body)
        except msgspec.DecodeError as error:
            return messages.Reply(400, [], str(error).encode())
        # A host that has just started may tell as news what is none here.
        told = {each.digest for each in found}
        mine = [each for each in records if each.digest in told]
        self._known.merge(found, 'told by a host')
        return messages.Reply(200, [], render_records(mine))


def render_records(records: Iterable[quarantine.Record]) -> bytes:
    """Write records as lines of JSON."""
    return b''.join(msgspec.json.encode(each) + b'\n' for each in records)


def read_records(lines: bytes) -> list[quarantine.Record]:
    """Return what `render_records` has written.

    Raises `msgspec.DecodeError` if that can't be read.
    """
    return _DECODER.decode_lines(lines)
