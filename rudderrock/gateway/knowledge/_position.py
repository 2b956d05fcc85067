"""Where in the history of the source something was read."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in the history of the source; of two, the greater is later.

    The source counts its changes by `revision`. It may come back from a copy
    that is some seconds old: what it wrote since is lost, and revisions go
    back and are given out again. `era` counts these returns, so a revision
    tells what is later within one era only.

    >>> Position(era=1, revision=372) > Position(era=0, revision=374)
    True
    """

    era: int
    revision: int


# Before anything has been read.
NOWHERE = Position(-1, -1)
