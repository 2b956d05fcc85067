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
import urllib.parse

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
# 20 ms and a new connection each, all are told in some 0.7 s.
MOST_AT_ONCE = 32
# How often a host that reads the source asks another one what it has missed,
# in seconds: when it has just started, or was frozen or cut off for longer
# than it is told again. That is one small exchange over a kept connection.
ASK_EVERY_S = 2.0
_DECODER = msgspec.json.Decoder(quarantine.Record)


class Learnt(msgspec.Struct, frozen=True):
    """What a host has learnt since a generation that another one knew."""

    process: str
    generation: int
    records: list[quarantine.Record]


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
        """Ask one host for what it knows, again and again, until cancelled."""
        failed: set[str] = set()
        while True:
            await asyncio.sleep(ASK_EVERY_S)
            if not self._asks_nobody():
                continue
            others = [each.address for each in self._list_near()]
            address = next((each for each in others if each not in failed), '')
            if not address:
                failed.clear()
                continue
            await self._follow(address)
            failed.add(address)

    async def _follow(self, address: str) -> None:
        """Ask one host until it fails or another brings its knowledge."""
        client = caller.HttpCaller(core.split_address(address), 1)
        heard = Learnt('', 0, [])
        try:
            while self._asks_nobody():
                query = urllib.parse.urlencode(
                    {'process': heard.process, 'since': heard.generation}
                )
                target = PATH + b'?' + query.encode()
                answer = await client.call(b'GET', target, b'', TELL_TIMEOUT_S)
                match answer:
                    case result.Ok(reply) if reply.status == 200:
                        heard = msgspec.json.decode(reply.body, type=Learnt)
                    case _:
                        return
                self._known.merge(heard.records, 'asked a host')
                await asyncio.sleep(ASK_EVERY_S)
        except msgspec.DecodeError as error:
            logging.warning(
                '%s answers what can not be read: %s', address, error
            )
        finally:
            client.close()

    def _list_near(self) -> list[fleet.HostEntry]:
        """Return the other hosts, those of this zone first."""
        own = self._hosts.own
        near = [each for each in self._hosts.rank_readers() if each != own]
        return near + self._hosts.list_others()

    async def _tell_all(self) -> None:
        """Tell all hosts, those again that did not answer."""
        body = self._render_news()
        waiting = {each.address for each in self._list_others()}
        for _ in range(MOST_TIMES):
            waiting = await self._tell(waiting, body)
            if not waiting:
                return
            await core.wait_for_event(self._news, AGAIN_S)
            if self._news.is_set():
                self._news.clear()
                body += self._render_news()
                waiting = {each.address for each in self._list_others()}
            waiting &= {each.address for each in self._list_others()}

    def _list_others(self) -> list[fleet.HostEntry]:
        own = self._hosts.own.host
        return [each for each in self._hosts.list_hosts() if each.host != own]

    def _render_news(self) -> bytes:
        records = self._known.list_since(self._told)
        self._told = self._known.generation
        return b''.join(msgspec.json.encode(each) + b'\n' for each in records)

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
        async with self._places:
            client = caller.HttpCaller(core.split_address(address), 1)
            try:
                answer = await client.call(b'POST', PATH, body, TELL_TIMEOUT_S)
            finally:
                client.close()
        match answer:
            case result.Ok(reply):
                return reply.status == 200
        return False

    def take(self, request: messages.Request) -> messages.Reply:
        """Take what another host tells, or tell it what it asks.

        Answers 400 to what can't be read.
        """
        if request.method == b'GET':
            return self._tell_since(request)
        try:
            found = _DECODER.decode_lines(request.body)
        except msgspec.DecodeError as error:
            return messages.Reply(400, [], str(error).encode())
        self._known.merge(found, 'told by a host')
        return messages.Reply(200, [])

    def _tell_since(self, request: messages.Request) -> messages.Reply:
        query = request.target.partition(b'?')[2].decode('latin-1')
        fields = dict(urllib.parse.parse_qsl(query))
        since = fields.get('since', '')
        if not since.isdecimal():
            return messages.Reply(400, [], b'since is not a number')
        process = self._known.process
        known = int(since) if fields.get('process') == process else 0
        learnt = Learnt(
            process, self._known.generation, self._known.list_since(known)
        )
        return messages.Reply(200, [caller.JSON], msgspec.json.encode(learnt))
