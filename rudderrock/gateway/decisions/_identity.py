"""Identification of the team that sends a request.

The host that a caller has reached checks the key and replaces it with the
team's name, so that no key reaches upstreams, other hosts or logs. Other hosts
trust the name, because only hosts reach the port for peers.
"""

import dataclasses

from rudderrock import core
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _teams as teams
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _messages as messages

_AUTHORIZATION = b'authorization'
_SCHEME = b'bearer'


@dataclasses.dataclass(frozen=True, slots=True)
class Identified:
    """A request of a known team."""

    team: teams.Team


@dataclasses.dataclass(frozen=True, slots=True)
class Anonymous:
    """A request that needs no key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unidentified:
    """A request without a key that the table in force lists."""

    detail: str


Identity = Identified | Anonymous | Unidentified


def identify_caller(
    table: routing.RoutingTable,
    route: routing.Route,
    request: messages.Request,
) -> Identity:
    """Return who sends a request, by its key."""
    if table.teams is None or route.is_public:
        return Anonymous()
    sent = [value for name, value in request.headers if name == _AUTHORIZATION]
    if len(sent) != 1:
        return Unidentified(f'{len(sent)} keys instead of one')
    scheme, _, key = sent[0].partition(b' ')
    if scheme.lower() != _SCHEME:
        return Unidentified('another scheme than Bearer')
    team = table.teams.find_by_key(key.strip())
    return Unidentified('unknown key') if team is None else Identified(team)


def identify_delegated(
    table: routing.RoutingTable,
    request: messages.Request,
    names: header_names.HeaderNames,
) -> Identity:
    """Return who sends a request, by the name that another host has set.

    A team that is missing from this host's table has no priority and no quota
    here.
    """
    name = request.get_header(names.team)
    if table.teams is None or name is None:
        return Anonymous()
    team = core.TeamId(name.decode(errors='replace'))
    found = table.teams.find(team)
    return Identified(found if found is not None else teams.Team(team=team))


def replace_credentials(
    request: messages.Request,
    identity: Identity,
    names: header_names.HeaderNames,
) -> None:
    """Remove the key and any team header of the caller; set the team."""
    request.headers = [
        pair
        for pair in request.headers
        if pair[0] not in (_AUTHORIZATION, names.team)
    ]
    match identity:
        case Identified(team=team):
            request.headers.append((names.team, team.team.encode()))
