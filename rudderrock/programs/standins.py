"""Command line that serves the stand-ins of a deployment."""

import asyncio
import json
import pathlib
import random

import defopt

from rudderrock import coordination
from rudderrock import standins as parts
from rudderrock import state
from rudderrock import transport
from rudderrock.programs import _exits as exits
from rudderrock.programs import _logs as logs
from rudderrock.programs import _runtime as runtime


def standins(
    deployment: pathlib.Path,
    *,
    kv: str = '127.0.0.1:7100',
    host_list: str = '127.0.0.1:7101',
    hosts: tuple[str, ...] = (),
    seed: int = 1,
    log: str = 'info',
) -> None:
    """Serve stand-ins of a deployment until interrupted.

    The index layout and an empty table are published. When all stand-ins are
    being served, one line of JSON is printed: the addresses of the key-value
    service and of the host list, and the number of upstreams.

    :param deployment: the deployment file, in TOML
    :param kv: address to serve the key-value service at
    :param host_list: address to serve the list of hosts at
    :param hosts: entry hosts to include in the list, as ID=ZONE=IP:PORT
    :param seed: seed of all random choices
    :param log: the lowest level logged: debug, info, warning or error
    """
    logs.set_up_logs(log)
    read = state.read_toml(deployment)
    if read.is_err():
        exits.fail(read.unwrap_err(), exits.Exit.USAGE)
    checked = state.validate(parts.Deployment, read.unwrap())
    if checked.is_err():
        problems = '\n'.join(str(each) for each in checked.unwrap_err())
        exits.fail(problems, exits.Exit.USAGE)
    listed_hosts = [_read_host(each) for each in hosts]
    try:
        asyncio.run(
            _serve(checked.unwrap(), kv, host_list, listed_hosts, seed)
        )
    except KeyboardInterrupt:
        pass


def _read_host(text: str) -> transport.ListedHost:
    host, _, rest = text.partition('=')
    zone, _, control = rest.partition('=')
    if not control:
        exits.fail(f'{text!r}: not ID=ZONE=IP:PORT', exits.Exit.USAGE)
    return transport.ListedHost(
        host=state.HostId(host), zone=state.ZoneId(zone), control=control
    )


async def _serve(
    deployment: parts.Deployment,
    kv: str,
    host_list: str,
    listed_hosts: list[transport.ListedHost],
    seed: int,
) -> None:
    rng = random.Random(seed)
    async with parts.serve_standins(
        deployment,
        runtime.make_system_clock(),
        rng,
        kv_address=kv,
        host_list_address=host_list,
    ) as served:
        served.host_list.hosts.extend(listed_hosts)
        await parts.publish(served.kv, coordination.LAYOUT_KEY, served.layout)
        table = state.Table(revision=state.Revision(1))
        await parts.publish(served.kv, coordination.TABLE_KEY, table)
        line = {
            'kv': served.kv_address,
            'host_list': served.host_list_address,
            'upstreams': len(served.models),
        }
        print(json.dumps(line), flush=True)
        await asyncio.Event().wait()


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run(standins)


if __name__ == '__main__':
    main()
