"""How long a host relies on its peers' readings before it reads by itself.

The load is a fleet in which the host that reads the source for all others
loses it, or hangs, just after a reading. A draining upstream must get no work
3 s after it announced the drain, so by then every host needs a newer reading.
If all hosts gave up at the same age, each would read the source at once. They
give up in the order in which they relay readings, so that one reading serves
all that follow. The age is measured by the host itself, since a peer that
hangs says nothing of its data.
"""

from rudderrock.gateway.discovery import _peers as peers

# Ages of the upstreams in seconds at which hosts that can use the source stop
# waiting for a peer's next reading: the first host of the zone that follows
# the reader's, those of the other zones, the second host of each zone, and the
# others. While the source is calm, readings are at most 1.5 s old when the
# next one arrives.
FIRST_ZONE_MAX_AGE_S = 1.8
ZONE_MAX_AGE_S = 1.9
SECOND_MAX_AGE_S = 2.1
OTHERS_MAX_AGE_S = 2.2
# How much longer a host waits for the reply in which the peer says that it
# has nothing newer, in seconds.
OVERDUE_MARGIN_S = 0.1
# The least time for which a peer is asked, in seconds, however old the data.
MIN_POLL_S = 0.2
# A host whose data is older than this asks no further peer after one that has
# not answered, in seconds. A reading of its own takes up to 0.3 s.
LAST_PEER_AGE_S = 2.4


def get_max_age_s(rank: int, earlier_zones: int) -> float:
    """Return the age at which a host that can use the source gives up peers.

    `rank` is the rank of the host in its zone, and `earlier_zones` the number
    of zones whose first host precedes that of its zone.
    """
    match rank:
        case 0:
            follows_reader = earlier_zones < 2
            return FIRST_ZONE_MAX_AGE_S if follows_reader else ZONE_MAX_AGE_S
        case 1:
            return SECOND_MAX_AGE_S
    return OTHERS_MAX_AGE_S


def get_poll_timeout_s(max_age_s: float, age_s: float) -> float:
    """Return the timeout of a poll by a host with data of age `age_s`.

    An age of -1 means that the host has no data yet.
    """
    longest_s = peers.POLL_HOLD_S + peers.REPLY_MARGIN_S
    if age_s < 0:
        return longest_s
    left_s = max_age_s + OVERDUE_MARGIN_S - age_s
    return min(longest_s, max(MIN_POLL_S, left_s))
