"""Messages between hosts.

A probe and its reply both carry a `Digest`: what the sender believes of
some members, the revision of the table it has in force, and demand. That
is all the periodic traffic there is, so its size is bounded here.
"""

import dataclasses
import enum

from rudderrock import state

PROBE_PATH = '/v1/peer/probe'
CONFIG_PATH = '/v1/peer/config'
SECRET_HEADER = 'x-rudderrock-peer'

# Members and demand entries (of all hosts together) in one digest. With
# these it stays under 3 KB, so eight a second keep within 24 KB a second.
MAX_NEWS = 8
MAX_DEMANDS = 64


class MemberState(enum.Enum):
    """What a host believes of another."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One host as others know it.

    `incarnation` is raised only by the host itself, to refute a suspicion.
    `control` is the address for peers.
    """

    host: state.HostId
    zone: state.ZoneId
    control: str
    incarnation: int
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What teams ask of one host, in shard requests a second.

    `count` grows with every new statement of the host, so the later of
    two is known.
    """

    host: state.HostId
    count: int
    rates: dict[state.TeamId, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """What travels on every probe and reply.

    `table_age_s` is how long ago, in seconds, the sender or someone it
    heard from had the revision confirmed by the key-value service.
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
    """Are you there? `target` is set to have another host asked instead."""

    digest: Digest
    target: Member | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeReply:
    """`reached` is False where the target of an indirect probe was not."""

    digest: Digest
    reached: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRequest:
    """Send me your table and layout where they are later than these."""

    table_revision: state.Revision
    layout_revision: state.Revision


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigReply:
    """The sender's table and layout, each None if it is no later."""

    table: state.Table | None
    layout: state.Layout | None
