"""Messages between hosts.

A probe and its reply both carry a `Digest`: the states of some members as
known to the sender, the revision of its active table, and the demand of
teams. Probes are the only periodic traffic between hosts, so the size of a
digest is bounded.
"""

import dataclasses
import enum

from rudderrock import state

PROBE_PATH = '/v1/peer/probe'
CONFIG_PATH = '/v1/peer/config'
SECRET_HEADER = 'x-rudderrock-peer'

# Maximum number of members, and of demand entries of all hosts together, in
# one digest. These bounds keep a digest below 3 KB, so that eight digests a
# second need at most 24 KB/s.
MAX_NEWS = 8
MAX_DEMANDS = 64


class MemberState(enum.Enum):
    """State of a host in the view of another host."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Membership record of one host.

    `incarnation` is incremented only by the host itself, to refute a
    suspicion. `control` is its address for peers and operators.
    """

    host: state.HostId
    zone: state.ZoneId
    control: str
    incarnation: int
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Demand of each team at one host, in shard requests a second.

    `count` increases with every record that the host sends, so that the
    receiver can identify the latest one.
    """

    host: state.HostId
    count: int
    rates: dict[state.TeamId, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """State that is sent with every probe and every reply.

    `table_age_s` is the time in seconds since the key-value service last
    confirmed the table revision, to the sender or to a host whose digest
    reached the sender. `news` holds membership records, those that
    changed recently first.
    """

    sender: Member
    stamp: state.Stamp
    table_revision: state.Revision
    table_age_s: float
    layout_revision: state.Revision
    news: list[Member]
    demands: list[Demand]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """Probe of a host, or an indirect probe of another host, `target`."""

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
    """Request for the table and the layout if their revisions are later."""

    table_revision: state.Revision
    layout_revision: state.Revision


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigReply:
    """Table and layout of the sender, each None if it isn't later."""

    table: state.Table | None
    layout: state.Layout | None
