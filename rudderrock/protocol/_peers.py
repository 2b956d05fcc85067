"""Messages between hosts.

A probe and its reply both carry a `Digest`: the states of some members as
known to the sender, the revisions of the table and the layout that it has in
force, and the demand of teams. Probes are the only periodic traffic between
hosts, so the size of a digest is bounded.
"""

import dataclasses
import enum
from typing import Annotated

import msgspec

from rudderrock import state

PROBE_PATH = '/v1/peer/probe'
CONFIG_PATH = '/v1/peer/config'
SECRET_HEADER = 'x-rudderrock-peer'

# These bounds keep a digest below 3 KB. At the default period of 0.5 s, a
# host sends and receives about eight digests a second (two probes and two
# replies in each direction), which need at most 24 KB/s.
#
# Maximum number of members in a digest.
MAX_DIGEST_MEMBERS = 8
# Maximum number of demand entries in a digest, of all hosts together.
MAX_DIGEST_DEMANDS = 64


_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# Shard requests a second.
_Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class MemberState(enum.Enum):
    """State of a host in the view of another host."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Membership record of one host.

    `control` is the address of the host for peers and operators. A record
    with a higher `incarnation` replaces one with a lower. Only the host
    itself increases it: to change its state, or to contradict a record that
    reports another state of it, such as suspect or failed.
    """

    host: state.HostId
    zone: state.ZoneId
    control: str
    incarnation: _Count
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Demand of each team at one host, in shard requests a second.

    `count` is higher in every later `Demand` of the same process, so that
    receivers keep the latest one.
    """

    host: state.HostId
    count: _Count
    rates: dict[state.TeamId, _Rate]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """Summary of what the sender knows, sent with every probe and reply.

    `table_age_s` is the time in seconds since the table revision was last
    known to be current, from the key-value service or from the digest of
    another host. `news` holds membership records, those that
    changed recently first.
    """

    sender: Member
    stamp: state.Stamp
    table_revision: state.Revision
    table_age_s: Annotated[float, msgspec.Meta(ge=0)]
    layout_revision: state.Revision
    news: list[Member]
    demands: list[Demand]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """Request for a sign of life of the receiver.

    With `target`, it is an indirect probe: the receiver is asked to probe
    that host and to report whether it replied.
    """

    digest: Digest
    target: Member | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeReply:
    """Reply to a probe.

    `reached` is False if the target of an indirect probe didn't answer.
    """

    digest: Digest
    reached: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRequest:
    """Request for the table and the layout of the receiver.

    Each is sent only if its revision is higher than the given one.
    """

    table_revision: state.Revision
    layout_revision: state.Revision


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigReply:
    """Table and layout of the replying host.

    Each is None if its revision isn't higher than the requested one.
    """

    table: state.Table | None
    layout: state.Layout | None
