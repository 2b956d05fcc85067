"""Parsing of addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of `IP:port`.

    Raises ValueError if the port is not a number.

    >>> split_address('10.0.0.9:8104')
    ('10.0.0.9', 8104)
    """
    ip, _, port = address.rpartition(':')
    return ip, int(port)
