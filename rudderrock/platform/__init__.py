"""The adapter to the users' platform: names, formats and calls.

It decides nothing. What the platform calls a machine, a zone, a tenant and
a back end is a host, an availability zone, a team and an upstream here.
"""

from rudderrock.platform._boot import Boot
from rudderrock.platform._boot import METRICS_PORT
from rudderrock.platform._boot import read_boot
from rudderrock.platform._decode import decode_table
from rudderrock.platform._decode import decode_upstream
from rudderrock.platform._headers import NAMES
from rudderrock.platform._store import StoreSource

__all__ = [
    'Boot',
    'METRICS_PORT',
    'NAMES',
    'StoreSource',
    'decode_table',
    'decode_upstream',
    'read_boot',
]
