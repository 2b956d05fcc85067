"""Telling all other hosts of requests that upstreams have ended under.

The hosts' questions carry knowledge from those that read the source to the
others. Which requests end upstreams is learnt by any host, and is needed at
all of them before the next copy comes, so the host that has learnt it tells
each of the others itself. What this misses travels with the questions.
"""

import asyncio
from collections.abc import Iterable

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
_DECODER = msgspec.json.Decoder(quarantine.Record)


class Announcer:
    """Tells hosts what this one has learnt, and takes what they tell."""

    def __init__(self, known: quarantine.Quarantine, hosts: fleet.Fleet):
        self._known = known
        self._hosts = hosts
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
        """Take what another host tells; answer 400 if it can't be read."""
        try:
            found = _DECODER.decode_lines(request.body)
        except msgspec.DecodeError as error:
            return messages.Reply(400, [], str(error).encode())
        self._known.merge(found, 'told by a host')
        return messages.Reply(200, [])
