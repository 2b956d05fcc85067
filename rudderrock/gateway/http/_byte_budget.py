"""Bound on the sum of the bytes that a gateway holds for others.

Each reply, and each request, is bounded by itself. Their sum is bounded here.
Teams distrust one another, so if the sum is too large, the owner that holds
most loses its largest holding (max-min fairness). An owner that holds less
than the limit divided by the number of owners loses nothing.
"""

from collections.abc import Callable
import dataclasses

# Holdings below this size are not counted, so that small messages cost
# nothing. Their sum is bounded by the number of connections.
SMALL_BYTES = 4096
# Heads with fewer headers are not counted if they are small.
SMALL_HEADERS = 32
# Size of two strings, a pair and a list element, in addition to their content.
HEADER_OVERHEAD_BYTES = 160
# What the program, its tables and connections take beside what is counted.
BASE_BYTES = 100_000_000
# A body that grows or is copied takes up to twice its size.
MAX_COPIES = 2
# Fraction of the memory limit that may be held if the limit is very low.
MIN_FRACTION = 1 / 8
# Fraction of what may be held that may be pinned, so that the rest is there
# for whoever holds little.
PINNED_FRACTION = 0.5
# An owner may pin this many times as much as nobody has pinned yet (Choudhury
# and Hahne, Dynamic queue length thresholds), so some is left for each other.
PINNED_SHARE = 4
# Memory limit that is assumed if it is unknown, in bytes.
DEFAULT_MEMORY_LIMIT_BYTES = 256_000_000


def compute_byte_limit(memory_limit_bytes: int) -> int:
    """Return how many bytes may be held with a memory limit, 0 if unknown."""
    total = memory_limit_bytes or DEFAULT_MEMORY_LIMIT_BYTES
    usable = (total - BASE_BYTES) / MAX_COPIES
    return int(max(usable, MIN_FRACTION * total))


def compute_head_size(size: int, headers: int) -> int:
    """Return what a list of headers takes, of `size` bytes in all."""
    return size + headers * HEADER_OVERHEAD_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Eviction:
    """A holding that was given up, and the sum of all before that."""

    owner: str
    size: int
    held_bytes: int


class _Record:
    """What the budget knows of a holding."""

    __slots__ = ('owner', 'size', 'evict', 'pinned')

    def __init__(self, owner: str, evict: Callable[[], None] | None):
        self.owner = owner
        self.size = 0
        self.evict = evict
        self.pinned = 0


class Holding:
    """Bytes that are held for one owner.

    `evict` must let go of the bytes, and must not call the budget; it is None
    while the bytes can't be given up. A holding that nothing refers to is
    released, as the bytes are if they are referred to together.
    """

    __slots__ = ('_budget', '_record')

    def __init__(
        self,
        budget: 'ByteBudget',
        owner: str,
        evict: Callable[[], None] | None,
    ):
        self._budget = budget
        self._record = _Record(owner, evict)

    def __del__(self) -> None:
        self._budget.release_later(self._record)

    def resize(self, size: int) -> None:
        """Set the size in bytes; this or other holdings may be evicted."""
        self._budget.update(self._record, size, self._record.evict)
        self._budget.enforce()

    def set_evict(self, evict: Callable[[], None] | None) -> None:
        """Replace what gives up the bytes; None if nothing can."""
        self._budget.update(self._record, self._record.size, evict)

    def try_pin(self) -> bool:
        """Keep the bytes from being given up, if there is room for that."""
        return self._budget.try_pin(self._record)

    def release(self) -> None:
        """Stop counting the bytes; repeated calls have no effect."""
        self._budget.update(self._record, 0, None)


class _Owner:
    """The sum of an owner's holdings.

    Those that may be evicted are grouped by the number of bits of their size.
    """

    __slots__ = ('total', 'pinned', 'evictable')

    def __init__(self) -> None:
        self.total = 0
        self.pinned = 0
        self.evictable: dict[int, set[_Record]] = {}

    def add(self, record: _Record) -> None:
        """Add a record that may be evicted."""
        self.evictable.setdefault(record.size.bit_length(), set()).add(record)

    def remove(self, record: _Record) -> None:
        """Remove a record that could be evicted."""
        bits = record.size.bit_length()
        self.evictable[bits].remove(record)
        if not self.evictable[bits]:
            del self.evictable[bits]

    def find_largest(self) -> _Record:
        """Return a record that is at least half as large as the largest."""
        return next(iter(self.evictable[max(self.evictable)]))


class ByteBudget:
    """Bounds the sum of all holdings.

    `report` is called for each eviction. The largest holding is determined
    within a factor of two, in a time that doesn't depend on their number.
    """

    def __init__(self, limit_bytes: int, report: Callable[[Eviction], None]):
        self.limit_bytes = limit_bytes
        self.evictions = 0
        self._report = report
        self._held_bytes = 0
        self._pinned_bytes = 0
        self._owners: dict[str, _Owner] = {}
        # A collection of cycles may free holdings at any time, also while the
        # owners are iterated over.
        self._freed: list[_Record] = []

    @property
    def held_bytes(self) -> int:
        """Return the sum of all holdings."""
        self._release_freed()
        return self._held_bytes

    def open(
        self, owner: str, evict: Callable[[], None] | None = None
    ) -> Holding:
        """Return a new holding without bytes."""
        return Holding(self, owner, evict)

    def update(
        self, record: _Record, size: int, evict: Callable[[], None] | None
    ) -> None:
        """Change the size of a record and what evicts it."""
        owner = self._owners.get(record.owner)
        if owner is None:
            owner = self._owners[record.owner] = _Owner()
        if record.size and record.evict is not None:
            owner.remove(record)
        self._held_bytes += size - record.size
        owner.total += size - record.size
        record.size = size
        record.evict = evict
        if size and evict is not None:
            owner.add(record)
        if not size:
            self._pinned_bytes -= record.pinned
            owner.pinned -= record.pinned
            record.pinned = 0
        if not owner.total:
            del self._owners[record.owner]

    def try_pin(self, record: _Record) -> bool:
        """Keep a record from being evicted, if its owner may pin it."""
        self._release_freed()
        owner = self._owners.get(record.owner)
        if owner is None or not record.size:
            return False
        left = PINNED_FRACTION * self.limit_bytes - self._pinned_bytes
        if owner.pinned + record.size > PINNED_SHARE * left:
            return False
        record.pinned = record.size
        owner.pinned += record.size
        self._pinned_bytes += record.size
        self.update(record, record.size, None)
        return True

    def release_later(self, record: _Record) -> None:
        """Stop counting a record before the next decision."""
        if record.size:
            self._freed.append(record)

    def _release_freed(self) -> None:
        while self._freed:
            self.update(self._freed.pop(), 0, None)

    def enforce(self) -> None:
        """Evict holdings until the sum is within the limit, if it can be."""
        while self.held_bytes > self.limit_bytes:
            evictable = [
                (owner.total, name)
                for name, owner in self._owners.items()
                if owner.evictable
            ]
            if not evictable:
                return
            _, name = max(evictable)
            self._evict(self._owners[name].find_largest())

    def _evict(self, record: _Record) -> None:
        eviction = Eviction(record.owner, record.size, self._held_bytes)
        evict = record.evict
        self.update(record, 0, None)
        self.evictions += 1
        evict()
        self._report(eviction)
