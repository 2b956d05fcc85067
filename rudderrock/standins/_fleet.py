"""Several hosts and their stand-ins in one process, in virtual time."""

import asyncio
import contextlib
import dataclasses
import random
from typing import Any

import result

from rudderrock import coordination
from rudderrock import core
from rudderrock import protocol
from rudderrock import root
from rudderrock import state
from rudderrock import transport
from rudderrock.standins import _deployment as deployments
from rudderrock.standins import _kv as kvs
from rudderrock.standins import _loopback as loopback
from rudderrock.standins import _memory as memory
from rudderrock.standins import _memory_hosts as memory_hosts
from rudderrock.standins import _upstream as upstreams

_READY_TIMEOUT_S = 30.0
_READY_POLL_S = 0.01
_EDIT_TIMEOUT_S = 10.0
# Between all hosts, whatever latencies the deployment's `Network` has.
_PEER_LATENCY_S = 0.0005
_BASE_PORT = 7000


@dataclasses.dataclass(slots=True, eq=False)
class RunningHost:
    """One host of a fleet, with its ports and its task."""

    host: coordination.EntryHost
    upstream_port: memory.MemoryUpstreamPort
    kv: memory_hosts.HostKv
    address: str
    task: asyncio.Task


class MemoryFleet:
    """The stand-ins of a deployment and the hosts in front of them.

    `deployment` describes the upstreams, hosts and network. `clock` returns
    the time of the running event loop. `seed` determines all random choices.
    `settings` holds the sections of the hosts' settings that differ from the
    defaults.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        clock: state.Clock,
        seed: int,
        settings: dict[str, Any] | None = None,
    ):
        self.deployment = deployment
        self.clock = clock
        self.kv = kvs.MemoryKv(clock)
        self.host_list = memory_hosts.MemoryHostList()
        self.layout = deployments.make_layout(deployment)
        self.models = deployments.make_models(
            deployment, self.layout, clock, state.make_random(seed, 'models')
        )
        self.peers = memory_hosts.MemoryPeers(
            _PEER_LATENCY_S, state.make_random(seed, 'peers')
        )
        self.hosts: dict[str, RunningHost] = {}
        self.tokens: dict[str, str] = {}
        self.rng = state.make_random(seed, 'fleet')
        self.editor = coordination.TableEditor(
            self.kv, clock, state.make_random(seed, 'editor')
        )
        self._seed = seed
        self._settings = settings or {}
        self._start_count = 0
        # Names of crashed hosts. Their callers receive no reply, although the
        # call into the host may still return one.
        self._crashed: set[str] = set()

    async def start(self, host_count: int) -> None:
        """Publish table and layout, and start hosts in alternating zones.

        Wait until they are ready.
        """
        await self.publish_layout(self.layout)
        table = state.Table(revision=state.Revision(1))
        await loopback.publish(self.kv, coordination.TABLE_KEY, table)
        zones = self.deployment.network.list_zones()
        for number in range(host_count):
            zone = zones[number % len(zones)]
            self.start_host(f'h{number + 1}', zone)
        await self.wait_until_ready()

    async def publish_layout(self, layout: state.Layout) -> None:
        """Write the layout to the key-value service."""
        self.layout = layout
        await loopback.publish(self.kv, coordination.LAYOUT_KEY, layout)

    async def change_layout(self, **changes: Any) -> None:
        """Publish the next revision of the layout with `changes` applied."""
        revision = state.Revision(self.layout.revision + 1)
        layout = dataclasses.replace(self.layout, revision=revision, **changes)
        await self.publish_layout(layout)

    async def set_row(self, team: str, **fields: Any) -> state.Edit:
        """Set fields of a team's row and return the accepted edit.

        The first call for a team also creates the team's token.
        """
        table = (await self.editor.read()).unwrap()
        base = table.rows.get(team)
        if team not in self.tokens:
            self.tokens[team] = state.make_token(team, self.rng)
        hashed = state.hash_token(self.tokens[team], random.Random(0))
        fields.setdefault('token_hashes', (hashed,))
        base_fields = dataclasses.asdict(base) if base else {'team': team}
        row = state.validate(state.TeamRow, {**base_fields, **fields})
        change = state.Change(
            edit_id=self.editor.make_edit_id(),
            author='operator',
            team=team,
            base=base,
            row=row.unwrap(),
        )
        outcome = await self.editor.edit(change, _EDIT_TIMEOUT_S)
        match outcome:
            case coordination.EditAccepted(edit):
                return edit
        raise AssertionError(f'edit not accepted: {outcome}')

    def start_host(self, name: str, zone: state.ZoneId) -> RunningHost:
        """Start one host, without waiting until it is ready."""
        self._start_count += 1
        address = f'127.0.0.1:{_BASE_PORT + self._start_count}'
        settings = self._make_settings(name, zone, address)
        rng = state.make_random(self._seed, f'port/{name}')
        port = memory.MemoryUpstreamPort(
            zone, self.models, self.deployment.network, rng
        )
        kv = memory_hosts.HostKv(self.kv)
        ports = root.Ports(
            kv=kv,
            upstreams=port,
            peers=self.peers.make_port(address),
            host_list=self.host_list,
        )
        host = root.make_host(
            settings, ports, self.clock, self._seed + self._start_count
        )
        listed = transport.ListedHost(
            host=state.HostId(name), zone=zone, control=address
        )
        self.host_list.hosts.append(listed)
        self.peers.add(address, host)
        task = asyncio.create_task(host.run())
        running = RunningHost(host, port, kv, address, task)
        self.hosts[name] = running
        return running

    async def stop_host(self, name: str) -> None:
        """Stop a host gracefully and remove it from the host list."""
        running = self.hosts[name]
        await running.host.stop()
        await running.task
        self._remove_from_list(name)

    async def crash_host(self, name: str) -> None:
        """End a host abruptly; it stays in the host list."""
        self._crashed.add(name)
        running = self.hosts[name]
        self.peers.remove(running.address)
        await core.end_task(running.task)

    def set_isolated(self, name: str, isolated: bool) -> None:
        """Disconnect a host from the key-value service and all peers.

        With `isolated` False, reconnect it.
        """
        running = self.hosts[name]
        running.kv.cut = isolated
        for other in self.hosts.values():
            pair = frozenset({running.address, other.address})
            if isolated and other is not running:
                self.peers.faults.cut.add(pair)
            else:
                self.peers.faults.cut.discard(pair)

    def set_paused(self, name: str, paused: bool) -> None:
        """Pause or resume a host; a paused host receives no replies.

        Replies of the key-value service and of upstreams arrive when the
        host resumes. Messages between it and its peers are lost.
        """
        running = self.hosts[name]
        pauses = (running.kv.pause, running.upstream_port.pause)
        for pause in pauses:
            if paused:
                pause.begin()
            else:
                pause.end()
        if paused:
            self.peers.faults.paused.add(running.address)
        else:
            self.peers.faults.paused.discard(running.address)

    def remove_from_list(self, name: str) -> None:
        """Remove a crashed host from the platform's host list."""
        self._remove_from_list(name)

    async def wait_until_ready(self) -> None:
        """Wait until all running hosts are ready.

        None of them is still connecting to an upstream then.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not all(map(self._is_ready, self.hosts.values())):
                await asyncio.sleep(_READY_POLL_S)

    async def wait_until_in_force(self, revision: state.Revision) -> float:
        """Wait until every running host has applied a table revision.

        Return the time waited, in seconds.
        """
        began = self.clock.now()
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while any(
                running.host.config.table_watcher.revision < revision
                for running in self.hosts.values()
                if not running.task.done()
            ):
                await asyncio.sleep(_READY_POLL_S)
        return self.clock.now() - began

    async def query(
        self, name: str, team: str, collection: str, body: str = '"q"'
    ) -> protocol.Outcome | None:
        """Send a query of a team to a host and return the outcome.

        Return None if the host crashed before it answered.
        """
        host = self.hosts[name].host
        authenticated = host.authenticate(self.tokens.get(team))
        match authenticated:
            case result.Err(refused):
                return refused
            case result.Ok(row):
                decoded = protocol.decode(
                    protocol.Query,
                    b'{"collection":"%s","body":%s}'
                    % (collection.encode(), body.encode()),
                )
                outcome = await host.query(row, decoded.unwrap())
                return None if name in self._crashed else outcome

    async def command(
        self,
        name: str,
        team: str,
        collection: str,
        idempotency_key: str,
        body: str = '"pass"',
    ) -> protocol.Outcome | None:
        """Send a command of a team, which may run at most once, to a host.

        Return the outcome, or None if the host crashed before it answered.
        """
        host = self.hosts[name].host
        row = host.authenticate(self.tokens[team]).unwrap()
        decoded = protocol.decode(
            protocol.Command,
            b'{"collection":"%s","routing_key":"member-1","body":%s}'
            % (collection.encode(), body.encode()),
        )
        outcome = await host.command(row, decoded.unwrap(), idempotency_key)
        return None if name in self._crashed else outcome

    def make_key(self) -> str:
        """Return a new idempotency key."""
        unix = int(self.clock.wall())
        return f'{unix:010d}-{self.rng.getrandbits(64):016x}'

    def list_runs(self) -> list[upstreams.Run]:
        """Return the requests that the upstreams have recorded as run."""
        return [run for model in self.models.values() for run in model.runs]

    async def close(self) -> None:
        """Crash all running hosts."""
        for name, running in self.hosts.items():
            if not running.task.done():
                await self.crash_host(name)

    def _remove_from_list(self, name: str) -> None:
        self.host_list.hosts = [
            each for each in self.host_list.hosts if each.host != name
        ]

    def _is_ready(self, running: RunningHost) -> bool:
        if running.task.done():
            return True
        links = running.host.dispatcher.list_links()
        connecting = coordination.UpstreamState.CONNECTING
        connected = all(link.state is not connecting for link in links)
        return running.host.lifecycle.is_ready and connected

    def _make_settings(
        self, name: str, zone: state.ZoneId, address: str
    ) -> state.Settings:
        raw = {
            'host': {
                'id': name,
                'zone': zone,
                'callers': address,
                'control': address,
            },
            'platform': {'kv': '127.0.0.1:1'},
            **self._settings,
        }
        return state.validate(state.Settings, raw).unwrap()


@contextlib.asynccontextmanager
async def run_fleet(
    deployment: deployments.Deployment,
    hosts: int,
    seed: int,
    settings: dict[str, Any] | None = None,
):
    """Run a fleet on the running loop for the duration of the context."""
    clock = state.Clock(asyncio.get_running_loop(), 1_700_000_000.0)
    fleet = MemoryFleet(deployment, clock, seed, settings)
    try:
        await fleet.start(hosts)
        yield fleet
    finally:
        await fleet.close()
