"""Adapter to the users' platform: names, formats and calls.

The adapter contains no policy. It translates the platform's terms: a machine
is a host here, a zone an availability zone, a tenant a team, and a back end an
upstream.
"""

from rudderrock.platform._decode import decode_host
from rudderrock.platform._decode import decode_record
from rudderrock.platform._decode import decode_table
from rudderrock.platform._decode import decode_upstream
from rudderrock.platform._decode import replace_keys
from rudderrock.platform._headers import NAMES
from rudderrock.platform._settings_file import METRICS_PORT
from rudderrock.platform._settings_file import read_settings_file
from rudderrock.platform._settings_file import SettingsFile
from rudderrock.platform._store import StoreSource

__all__ = [
    'METRICS_PORT',
    'NAMES',
    'SettingsFile',
    'StoreSource',
    'decode_host',
    'decode_record',
    'decode_table',
    'decode_upstream',
    'read_settings_file',
    'replace_keys',
]
