"""Serving the stand-ins of a whole deployment over loopback."""

import asyncio
import contextlib
import dataclasses
import random

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.standins import _deployment as deployments
from rudderrock.standins import _hosts as hosts
from rudderrock.standins import _kv as kvs
from rudderrock.standins import _memory_hosts as memory_hosts
from rudderrock.standins import _upstream as upstreams

_ANY_PORT = '127.0.0.1:0'


@dataclasses.dataclass(slots=True, kw_only=True)
class LoopbackStandins:
    """The running stand-ins, and the addresses of the platform services.

    `layout` has the addresses of the upstreams.
    """

    kv: kvs.MemoryKv
    kv_address: str
    host_list: memory_hosts.MemoryHostList
    host_list_address: str
    models: dict[state.UpstreamId, upstreams.UpstreamModel]
    layout: state.Layout


@contextlib.asynccontextmanager
async def serve_standins(
    deployment: deployments.Deployment,
    clock: state.Clock,
    rng: random.Random,
    *,
    kv_address: str = _ANY_PORT,
    host_list_address: str = _ANY_PORT,
):
    """Serve a deployment's stand-ins over loopback during the context.

    The `layout` of the yielded object has the addresses of the running
    upstreams; the caller must write this layout to the key-value service,
    with `publish`.
    """
    servers: list[transport.HttpServer] = []

    async def serve(app, address: str) -> str:
        listener = transport.bind(address).expect('address is free')
        server = transport.HttpServer(app, listener, stop_timeout_s=1.0)
        servers.append(server)
        await server.open()
        return server.address

    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(_close_all, servers)

        kv = kvs.MemoryKv(clock)
        # Ends the waiting watches, so that the servers can close without
        # delay.
        stack.push_async_callback(kv.set_down, True)
        host_list = memory_hosts.MemoryHostList()
        layout_without_addresses = deployments.make_layout(deployment)
        models = deployments.make_models(
            deployment, layout_without_addresses, clock, rng
        )
        addresses = {
            upstream: await serve(
                upstreams.make_upstream_app(model), _ANY_PORT
            )
            for upstream, model in models.items()
        }
        layout = deployments.make_layout(deployment, addresses)
        yield LoopbackStandins(
            kv=kv,
            kv_address=await serve(kvs.make_kv_app(kv), kv_address),
            host_list=host_list,
            host_list_address=await serve(
                hosts.make_host_list_app(host_list), host_list_address
            ),
            models=models,
            layout=layout,
        )


async def publish(kv: transport.KvPort, key: str, value: object) -> None:
    """Write a key of the key-value service, whatever its version is."""
    entry = (await kv.get(key)).unwrap()
    request = protocol.SwapRequest(
        key=key, value=protocol.encode(value), expected=entry.version
    )
    (await kv.swap(request)).unwrap()


async def _close_all(servers: list[transport.HttpServer]) -> None:
    """Close servers concurrently; in sequence it would take seconds."""
    await asyncio.gather(*(server.close() for server in servers))
