"""Positions in the change history of the source."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A position in the change history of the source; later is greater.

    The source numbers its changes by `revision`. When it is restored from a
    backup that is some seconds old, the changes made since the backup are lost
    and their revisions are assigned again. `era` counts these restores, so
    revisions can be compared only within one era.

    >>> Position(era=1, revision=372) > Position(era=0, revision=374)
    True
    """

    era: int
    revision: int


# The position before the first reading.
NEVER_READ = Position(-1, -1)
