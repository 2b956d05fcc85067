"""Parsing of addresses and of numbers in headers."""

import functools
import re

_OCTET = r'(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
_PORT = (
    r'(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    r'|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)
# An IPv4 address in dotted decimal form and a port from 1 to 65535. Names are
# not looked up.
_IP = rf'{_OCTET}(?:\.{_OCTET}){{3}}'
IP_PATTERN = rf'\A{_IP}\Z'
ADDRESS_PATTERN = rf'\A{_IP}:{_PORT}\Z'
_ADDRESS = re.compile(ADDRESS_PATTERN)
# The addresses of all upstreams are read each second.
_CACHED_ADDRESSES = 4096
# The greatest number that `parse_number` returns; every greater one is
# returned as this one.
MAX_NUMBER = 10**15


@functools.lru_cache(maxsize=_CACHED_ADDRESSES)
def split_address(address: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of `IP:port`.

    Raises ValueError if the address is invalid or the port isn't within 1 to
    65535.

    >>> split_address('10.0.0.9:8104')
    ('10.0.0.9', 8104)
    """
    if not _ADDRESS.match(address):
        raise ValueError(f'not an IPv4 address with a port: {address[:64]!r}')
    ip, _, port = address.rpartition(':')
    return ip, int(port)


def parse_number(text: bytes | None) -> int | None:
    """Return the number of a header value, None if it isn't a whole number.

    Spaces around it are ignored. A number beyond `MAX_NUMBER`, however many
    digits it has, is returned as `MAX_NUMBER`.

    >>> parse_number(b' 250 '), parse_number(b'-1'), parse_number(None)
    (250, None, None)
    """
    digits = (text or b'').strip(b' \t')
    if not digits.isdigit():
        return None
    digits = digits.lstrip(b'0')
    if len(digits) > len(str(MAX_NUMBER)):
        return MAX_NUMBER
    return min(MAX_NUMBER, int(digits or b'0'))
