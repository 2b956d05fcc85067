"""Serves one entry host with its HTTP servers on the running loop."""

import contextlib
import dataclasses
import secrets as system_secrets

import result

from rudderrock import coordination
from rudderrock import frontend
from rudderrock import root
from rudderrock import state
from rudderrock import transport
from rudderrock.programs import _logs as logs
from rudderrock.programs import _runtime as runtime


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServedHost:
    """A host and the addresses that its servers listen on."""

    host: coordination.EntryHost
    callers: str
    control: str


@contextlib.asynccontextmanager
async def open_host(settings: state.Settings, secrets: frontend.Secrets):
    """Serve one host until the context exits.

    Yields a host whose servers listen, or an error if an address cannot be
    bound. The code in the context must run the host.
    """
    async with contextlib.AsyncExitStack() as stack:
        caller_socket = transport.bind(settings.host.callers)
        if caller_socket.is_err():
            yield caller_socket
            return
        stack.callback(caller_socket.unwrap().close)
        control_socket = transport.bind(settings.host.control)
        if control_socket.is_err():
            yield control_socket
            return
        stack.callback(control_socket.unwrap().close)
        host = _make_host(settings, secrets, stack)
        limits = transport.HeadLimits(
            timeout_s=settings.intake.head_timeout_s,
            max_bytes=settings.intake.max_header_bytes,
        )
        control_address = await stack.enter_async_context(
            transport.serve(
                frontend.make_control_app(host, secrets),
                control_socket.unwrap(),
                limits=limits,
            )
        )
        caller_address = await stack.enter_async_context(
            transport.serve(
                frontend.make_caller_app(host),
                caller_socket.unwrap(),
                limits=limits,
                max_connections=settings.intake.max_connections,
            )
        )
        yield result.Ok(
            ServedHost(
                host=host, callers=caller_address, control=control_address
            )
        )


def _make_host(
    settings: state.Settings,
    secrets: frontend.Secrets,
    stack: contextlib.AsyncExitStack,
) -> coordination.EntryHost:
    platform = settings.platform
    kv = transport.HttpKvPort(platform.kv, platform.timeout_s)
    stack.push_async_callback(kv.close)
    host_list = None
    if platform.host_list is not None:
        host_list = transport.HttpHostListPort(
            platform.host_list, platform.timeout_s
        )
    ports = root.Ports(
        kv=kv,
        upstreams=transport.HttpUpstreamPort(
            settings.routing.connect_timeout_s
        ),
        peers=transport.HttpPeerPort(secrets.peer),
        host_list=host_list,
    )
    seed = settings.host.seed or system_secrets.randbits(32)
    return root.make_host(
        settings, ports, runtime.make_system_clock(), seed, logs.log_event
    )
