"""The model boxes of a simulated shard: their list, crashes, capacities and clocks, and
which of them are cut off."""

import random
import typing as t

from granitetrestle.interfaces import BoxEntry
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle_standins.boxcrashes import BoxCrashes
from granitetrestle_standins.boxprofiles import MIN_CLOCK_RATE
from granitetrestle_standins.boxprofiles import PLAIN_BOX
from granitetrestle_standins.modelincarnations import IncarnationFactory
from granitetrestle_standins.nativebox import BoxModel

__all__ = ["CAPACITY_GRACE_S", "SHORT_DURATIONS", "ModelBoxes"]

# A start may rely on a box's earlier capacity for this long after it shrank: commands
# are in flight, and the list of boxes is read a few times a second.
CAPACITY_GRACE_S = 0.2
SHORT_DURATIONS = SchedulerParameters(lease_s=3.0, orphan_s=2.0, keep_s=600.0)


class ModelBoxes:
    """Boxes in virtual time.

    :param keep_ids: whether crashed boxes may restart under the same id.
    :param slow_clocks: whether clocks of boxes may run as slowly as is allowed.
    :param parameters: of all leaders; boxes grant leases of the same length.
    :ivar entries: the current list of boxes.
    :ivar cut_until: boxes that no scheduler process reaches, and until when.
    :ivar mute: boxes that receive every call, but whose answers are lost.
    :ivar refusing: boxes that accept no connection, though their tasks go on.
    :ivar reset_until: boxes whose connections are reset before they answer, and until
        when; calls arrive.
    """

    def __init__(
        self,
        seed: int,
        halls: t.Sequence[str],
        keep_ids: bool,
        slow_clocks: bool,
        parameters: SchedulerParameters = SHORT_DURATIONS,
    ) -> None:
        self.random = random.Random(seed)
        self._incarnations = IncarnationFactory(seed, keep_ids)
        # A generator of its own: the simulation's draws don't depend on clocks.
        self._clock_draw = random.Random(f"clocks {seed}") if slow_clocks else None
        self.now = 100.0
        self.parameters = parameters
        self.halls = halls
        self.boxes: dict[str, BoxModel] = {}
        self.entries: dict[str, BoxEntry] = {}
        # Ids of boxes whose entries are there, but can't be read.
        self.unreadable: set[str] = set()
        self.cut_until: dict[str, float] = {}
        self.mute: set[str] = set()
        self.refusing: set[str] = set()
        self.reset_until: dict[str, float] = {}
        self.box_crashes = BoxCrashes()
        # Incarnation -> its earlier capacity (millicores), and how long that may count.
        self._earlier_capacity: dict[str, tuple[int, float]] = {}

    def add_box(self, hall: str = "") -> str:
        """Add an empty box; without a hall, halls are assigned in turn."""
        hall = hall or self.halls[(self._incarnations.count + 1) % len(self.halls)]
        return self._add_incarnation(self._incarnations.create(hall))

    def _add_incarnation(self, entry: BoxEntry) -> str:
        """Start an incarnation and list it."""
        profile = PLAIN_BOX
        if self._clock_draw is not None:
            clock_rate = self._clock_draw.choice((MIN_CLOCK_RATE, 1.0))
            profile = PLAIN_BOX._replace(clock_rate=clock_rate)
        self.boxes[entry.incarnation] = BoxModel(
            entry.incarnation, self.parameters.lease_s, profile
        )
        self.entries[entry.incarnation] = entry
        return entry.incarnation

    def crash_box(self, choice: int) -> None:
        """End an incarnation of a box; the next one starts at once."""
        incarnation = self._pick(choice)
        if incarnation is not None:
            self.box_crashes.crash(self.boxes[incarnation], self.now)
            self._restart_box(self.entries.pop(incarnation))

    def end_box(self, incarnation: str) -> None:
        """Crash a box for good; nobody accepts connections at its address."""
        self.box_crashes.crash_for_good(self.boxes[incarnation], self.now)

    def _restart_box(self, previous: BoxEntry) -> None:
        """Start the incarnation that follows an ended one."""
        entry = self._incarnations.restart(previous)
        if entry.box_id == previous.box_id:
            # The list holds one entry per id.
            self.entries.pop(previous.incarnation, None)
        self._add_incarnation(entry)

    def _crash_boxes(self) -> None:
        """Crash boxes under crashing tasks; restart or unlist crashed ones if due."""
        crashes = self.box_crashes
        for box in list(self.boxes.values()):
            if causes := crashes.causes_due(box, self.now):
                crashes.crash_and_restart(box, self.now, causes)
        for incarnation in crashes.pop_restarted(self.now):
            # One that left the list before it crashed is gone for good.
            if incarnation in self.entries:
                self._restart_box(self.entries[incarnation])
        for incarnation in crashes.pop_unlisted(self.now):
            self.entries.pop(incarnation, None)

    def resize_box(self, choice: int, cpu: int) -> None:
        """Change the listed capacity; the box itself refuses no start."""
        incarnation = self._pick(choice)
        if incarnation is not None:
            self._resize(incarnation, cpu)

    def resize_all(self, least_cpu: int) -> None:
        """Give each box a capacity, if it has less. One that is down restarts with it."""
        for incarnation, entry in list(self.entries.items()):
            if entry.cpu < least_cpu:
                self._resize(incarnation, least_cpu)

    def _resize(self, incarnation: str, cpu: int) -> None:
        entry = self.entries[incarnation]
        previous = max(entry.cpu, self._recent_capacity(incarnation))
        self._earlier_capacity[incarnation] = previous, self.now + CAPACITY_GRACE_S
        self.entries[incarnation] = entry._replace(cpu=cpu)

    def cut_box(self, choice: int, seconds: float) -> None:
        """Cut a box off from every scheduler process; its tasks keep running."""
        incarnation = self._pick(choice)
        if incarnation is not None:
            self.cut_until[incarnation] = self.now + seconds

    def _pick(self, choice: int) -> str | None:
        alive = [
            incarnation
            for incarnation in sorted(self.entries)
            if self.boxes[incarnation].alive
        ]
        return alive[choice % len(alive)] if alive else None

    def _recent_capacity(self, incarnation: str) -> int:
        """Return the earlier capacity while a start may rely on it, otherwise 0."""
        previous, until = self._earlier_capacity.get(incarnation, (0, 0.0))
        return previous if self.now <= until else 0
