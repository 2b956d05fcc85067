"""The platform's names of headers."""

from rudderrock import gateway

NAMES = gateway.HeaderNames(
    request_id=b'x-request-id',
    deadline_ms=b'x-deadline-ms',
    # The id of one incarnation, not of an address or a service.
    expected_upstream=b'x-expect-instance',
    # The platform calls it a stamp; it is a signature of the answer.
    stamp=b'x-server-stamp',
    not_run=b'x-not-executed',
    part_stamps=b'x-part-stamps',
    missing_parts=b'x-missing-parts',
    # The platform's tenant is a team here.
    team=b'x-tenant',
)
