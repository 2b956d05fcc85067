"""Loopback ports for the processes and stand-ins of a soak."""

import contextlib
import random
import socket

# Below the ports that the kernel gives to outgoing connections.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
# Range of the second and the third octet of the networks of hosts. Programs
# that choose addresses of their own rarely use such a high second octet.
_SECOND_OCTETS = (210, 250)
_THIRD_OCTETS = (1, 250)
# Last octets of the hosts' addresses, from 1 on, and of the stand-ins.
_MAX_HOSTS = 64
STAND_IN_OCTET = 250


def find_network(port: int, source: random.Random | None = None) -> str:
    """Return the first three octets of a loopback network that is not used.

    `port` is one that each host listens on at its own address. A network is
    in use if another program listens there at the address of any host: one
    whose soak was killed keeps calling its stand-ins.
    """
    source = source or random.SystemRandom()
    while True:
        second = source.randint(*_SECOND_OCTETS)
        third = source.randint(*_THIRD_OCTETS)
        network = f'127.{second}.{third}'
        try:
            with contextlib.ExitStack() as stack:
                for last in range(1, _MAX_HOSTS + 1):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((f'{network}.{last}', port))
        except OSError:
            continue
        return network


def find_port_range(count: int, ip: str) -> int:
    """Return the first of `count` consecutive free ports of an address.

    They are drawn from ports that the kernel does not give to outgoing
    connections, which could take one of them before it is bound again.
    """
    source = random.SystemRandom()
    while True:
        first = source.randrange(_FIRST_PORT, _LAST_PORT - count)
        try:
            with contextlib.ExitStack() as stack:
                for port in range(first, first + count):
                    each = stack.enter_context(socket.socket())
                    each.bind((ip, port))
        except OSError:
            continue
        return first


def reserve_port(ip: str) -> socket.socket:
    """Return a socket that keeps a port of an address without listening.

    A server of this process may listen on the port with `SO_REUSEADDR`, as
    asyncio does, and stop. While it does not, connections are refused, and no
    other program gets the port: `find_port_range` and the kernel pass it over.
    """
    while True:
        port = find_port_range(1, ip)
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            reserved.bind((ip, port))
        except OSError:
            reserved.close()
            continue
        return reserved
