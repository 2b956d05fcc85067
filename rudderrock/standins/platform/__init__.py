"""Stand-ins of the users' platform, by its published protocol.

Beside the adapter, this is the one place that speaks its format.
"""

from rudderrock.standins.platform._store import PlatformStore
from rudderrock.standins.platform._store import Refusal
from rudderrock.standins.platform._store import StoreCopy
from rudderrock.standins.platform._values import make_boot
from rudderrock.standins.platform._values import make_config
from rudderrock.standins.platform._values import make_gather
from rudderrock.standins.platform._values import make_route
from rudderrock.standins.platform._values import make_server

__all__ = [
    'PlatformStore',
    'Refusal',
    'StoreCopy',
    'make_boot',
    'make_config',
    'make_gather',
    'make_route',
    'make_server',
]
