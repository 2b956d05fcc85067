"""Stand-ins for the users' platform that follow its published protocol.

Only this package and the adapter (`rudderrock.platform`) use the platform's
formats.
"""

from rudderrock.standins.platform._store import PlatformStore
from rudderrock.standins.platform._store import Refusal
from rudderrock.standins.platform._store import StoreSnapshot
from rudderrock.standins.platform._values import make_config
from rudderrock.standins.platform._values import make_gather
from rudderrock.standins.platform._values import make_odd_entry
from rudderrock.standins.platform._values import make_route
from rudderrock.standins.platform._values import make_server
from rudderrock.standins.platform._values import make_settings_file

__all__ = [
    'PlatformStore',
    'Refusal',
    'StoreSnapshot',
    'make_settings_file',
    'make_config',
    'make_gather',
    'make_odd_entry',
    'make_route',
    'make_server',
]
