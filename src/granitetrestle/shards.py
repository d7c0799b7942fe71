"""The owner's work on its shards: books, starts, loans of slots, key decisions.

All of these are opened and closed together with the epoch of a shard."""

import typing as t

from .capacity import Assignment
from .events import AppendFacts
from .events import BoxAnswered
from .events import Effect
from .events import LogEvent
from .jobs import Job
from .jobs import Jobs
from .keys import MAX_KEY_AHEAD_S as KEY_AHEAD_S
from .keys import KeyLedger
from .keys import key_shard
from .lending import Lendable
from .lending import Lender
from .lending import LendingParameters
from .messages import EndpointInfo
from .messages import KeyAsked
from .messages import KeyReturned
from .messages import KeyVerdict
from .messages import LoansGranted
from .messages import LoansHeld
from .ownedshard import OwnedShard
from .ownership import Ownership
from .ownership import ShardState
from .placement import Placement
from .placementparameters import PlacementParameters
from .policy import Policy
from .records import ShardReleased
from .starts import TaskStarter
from .table import Table

__all__ = ["ShardOwner"]

SWEEP_INTERVAL_S = 0.25


class ShardOwner:
    """Runs every shard that this process owns."""

    def __init__(
        self,
        stream: str,
        shards: int,
        placement_parameters: PlacementParameters,
        lending_parameters: LendingParameters,
        policy: Policy,
        table: Table,
        jobs: Jobs,
        ownership: Ownership,
    ) -> None:
        self._stream = stream
        self._shards = shards
        self._parameters = placement_parameters
        self._lending_parameters = lending_parameters
        self._ownership = ownership
        self._placement = Placement(
            stream, shards, placement_parameters, jobs, ownership
        )
        self._starter = TaskStarter(stream, shards, policy, table, jobs)
        self._lenders: dict[int, Lender] = {}
        self._keys: dict[int, KeyLedger] = {}
        # Owned shard -> what its books count as :meth:`.Ownership.superseded_at`.
        self._superseded_at: dict[int, float] = {}
        self._sweep_at = -1e18
        self._releasing: set[int] = set()
        self._released: set[int] = set()

    @property
    def placement(self) -> Placement:
        """The books of the owned shards."""
        return self._placement

    @property
    def lenders(self) -> t.Mapping[int, Lender]:
        """Owned shard -> ledger of its slot loans."""
        return self._lenders

    def open_epoch(
        self, shard: int, previous: ShardState, now: float, wall: float
    ) -> list[Effect]:
        """Open the books and ledgers of an epoch that this process has claimed.

        :param previous: state of the shard before the claim.
        """
        effects = self._placement.open_shard(shard, previous, now, wall)
        epoch = self._ownership.shards[shard].epoch
        superseded_at = self._ownership.superseded_at(shard)
        older_loans_end_at = now
        if previous.epoch:
            renewals_end_wall = self._parameters.renewals_end_wall(superseded_at)
            older_loans_end_at = (
                max(
                    self._ownership.predecessor_quiesced_at(shard),
                    now + renewals_end_wall - wall,
                )
                + self._lending_parameters.loan_duration_s
            )
        nodes = self._ownership.nodes
        self._lenders[shard] = Lender(
            shard, epoch, nodes, older_loans_end_at, self._lending_parameters
        )
        since = wall + KEY_AHEAD_S + self._parameters.clock_margin_s
        since = since if previous.epoch else 0.0
        self._keys[shard] = KeyLedger(since)
        self._superseded_at[shard] = superseded_at
        self._releasing.discard(shard)
        self._released.discard(shard)
        return effects

    def close_epoch(self, shard: int) -> list[Effect]:
        """Close the books and ledgers of an epoch that has ended."""
        self._lenders.pop(shard, None)
        self._keys.pop(shard, None)
        self._superseded_at.pop(shard, None)
        return self._placement.close_shard(shard)

    def release_after_gap(self, shard: int, epoch: int) -> Effect:
        """Release a shard whose books were lost through a gap in the log."""
        fact = ShardReleased(shard, epoch)
        return AppendFacts(self._stream, (fact,), f"release/{shard}")

    def begin_release(self) -> None:
        """Stop deciding, for a planned stop; commands in flight are completed."""
        self._releasing |= set(self._ownership.owned())

    def _release(
        self, owned: OwnedShard, successors: t.Sequence[str], wall: float
    ) -> list[Effect]:
        """Release a shard once no start of this process can still arrive at a box."""
        if owned.shard in self._released or not self._is_quiesced(owned, wall):
            return []
        self._released.add(owned.shard)
        successor = successors[owned.shard % len(successors)] if successors else ""
        fact = ShardReleased(owned.shard, owned.epoch, successor)
        return [AppendFacts(self._stream, (fact,), f"release/{owned.shard}")]

    def _is_quiesced(self, owned: OwnedShard, wall: float) -> bool:
        boxes = owned.index.boxes.values()
        if any(box.exchange_in_flight for box in boxes):
            return False
        limit = wall - self._parameters.clock_margin_s
        return all(
            assignment.not_after < limit
            for assignment in owned.assignments()
            if assignment.state == "starting"
        )

    def _may_decide(self, shard: int, now: float) -> bool:
        owned = self._placement.owned_shards.get(shard)
        if owned is None or owned.superseded or shard in self._releasing:
            return False
        return self._ownership.may_start(shard, now)

    def decide_key(self, message: KeyAsked, now: float, wall: float) -> KeyVerdict:
        """Return the decision on whether a request with a key may run."""
        shard = key_shard(message.account, message.key, self._shards)
        ledger = self._keys.get(shard)
        if ledger is None or not self._may_decide(shard, now):
            return KeyVerdict(message.request, "not_owner")
        verdict = ledger.decide(
            message.account, message.key, message.issued_at, wall, message.request
        )
        return KeyVerdict(message.request, verdict)

    def release_key(self, message: KeyReturned) -> None:
        """Free a key whose request did not run."""
        shard = key_shard(message.account, message.key, self._shards)
        if shard in self._keys:
            self._keys[shard].release(message.account, message.key, message.request)

    def grant_loans(
        self, node: str, incarnation: str, message: LoansHeld, now: float
    ) -> LoansGranted | None:
        """Answer a borrower's report; its support may extend this owner's lease.

        :returns: ``None`` if this process may not answer for the shard.
        """
        lender = self._lenders.get(message.shard)
        if lender is None or message.shard in self._releasing:
            return None
        owned = self._placement.owned_shards[message.shard]
        if owned.superseded:
            return None
        if message.supports and message.epoch == lender.epoch:
            since = lender.grant_sent_at(node, incarnation, message.applied)
            if since is not None:
                self._ownership.record_support(message.shard, node, since)
        if now > self._ownership.log_lease_ends_at() + self._parameters.orphan_s:
            return None
        within_lease = self._may_decide(message.shard, now)
        complete = owned.listed and not owned.unreconciled
        return lender.grant_loans(
            node, incarnation, message, now, within_lease, complete
        )

    def box_answered(self, event: BoxAnswered) -> list[Effect]:
        """Apply a box's answer to an exchange."""
        return self._placement.box_answered(event)

    def tick(
        self, now: float, wall: float, successors: t.Sequence[str]
    ) -> list[Effect]:
        """Run a round of every owned shard.

        :param successors: other live processes of the hall, of which a planned stop
            names one as the next owner of each shard.
        """
        effects: list[Effect] = []
        sweep = now >= self._sweep_at
        if sweep:
            self._sweep_at = now + SWEEP_INTERVAL_S
        for shard, owned in list(self._placement.owned_shards.items()):
            if sweep:
                effects += self._sweep(shard, owned, now, wall)
            if self._may_decide(shard, now):
                effects += self._starter.run_round(owned, now)
            if shard in self._releasing:
                effects += self._release(owned, successors, wall)
            elif not owned.superseded:
                effects += self._exchange(owned, sweep, now, wall)
        return effects

    def _sweep(
        self, shard: int, owned: OwnedShard, now: float, wall: float
    ) -> list[Effect]:
        """Check every box and task; urgent work is done on each tick instead."""
        self._check_earlier_owners(shard, owned, now, wall)
        effects = self._placement.end_lapsed(owned, wall)
        effects += self._drain(owned, now)
        self._update_lendable(owned, now)
        self._keys[shard].prune(wall)
        return effects

    def _check_earlier_owners(
        self, shard: int, owned: OwnedShard, now: float, wall: float
    ) -> None:
        """Wait for less once an earlier owner's process was seen replaced."""
        superseded_at = self._ownership.superseded_at(shard)
        if superseded_at >= self._superseded_at[shard]:
            return
        self._superseded_at[shard] = superseded_at
        renewals_end_wall = max(wall, self._parameters.renewals_end_wall(superseded_at))
        margin = self._parameters.lease_s + self._parameters.clock_margin_s
        owned.old_leases_expired_wall = min(
            owned.old_leases_expired_wall, renewals_end_wall + margin
        )
        self._lenders[shard].shorten_older_loans(now + renewals_end_wall - wall)

    def _exchange(
        self, owned: OwnedShard, sweep: bool, now: float, wall: float
    ) -> list[Effect]:
        names = list(owned.index.boxes) if sweep else sorted(owned.boxes_with_starts)
        effects: list[Effect] = []
        for name in names:
            box = owned.index.boxes[name]
            if self._placement.exchange_due(box, now):
                effects.append(self._placement.exchange(owned, box, now, wall))
            if not box.starts:
                owned.boxes_with_starts.discard(name)
        return effects

    def _drain(self, owned: OwnedShard, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for box in owned.index.boxes.values():
            if not (box.drained or box.info.leaving):
                continue
            for assignment in box.tasks.values():
                if assignment.state == "running":
                    effects.append(self._start_drain(assignment, owned.epoch))
                elif assignment.state == "draining":
                    self._finish_drain(owned, assignment, now)
        return effects

    @staticmethod
    def _start_drain(assignment: Assignment, epoch: int) -> Effect:
        service = assignment.spec.kind == "service"
        assignment.state = "draining" if service else "evicting"
        assignment.stop_reason = "evicted"
        assignment.reason = f"{assignment.box} is draining"
        return LogEvent("draining", assignment.task, assignment.reason, epoch)

    def _finish_drain(
        self, owned: OwnedShard, assignment: Assignment, now: float
    ) -> None:
        lender = self._lenders[owned.shard]
        if not lender.outstanding(endpoint_name(assignment), now):
            assignment.state = "stopping"

    def _update_lendable(self, owned: OwnedShard, now: float) -> None:
        lendable: dict[str, Lendable] = {}
        for box in owned.index.boxes.values():
            if box.drained or box.info.leaving:
                continue
            for assignment in box.tasks.values():
                if assignment.spec.kind != "service" or assignment.state != "running":
                    continue
                name = endpoint_name(assignment)
                info = EndpointInfo(
                    name, assignment.spec.service, box.info.endpoint_address
                )
                of_current_epoch = assignment.epoch == owned.epoch
                lendable[name] = Lendable(info, box.info.slots, of_current_epoch)
        lender = self._lenders[owned.shard]
        lender.set_lendable(lendable)
        lender.remove_silent_borrowers(now)
        lender.check(now)

    def explain(self, job: Job) -> dict[str, str] | None:
        """Return task -> reason for its state, or ``None`` if not owned here."""
        owned = self._placement.owned_shards.get(job.shard)
        if owned is None:
            return None
        return {
            task.task: self._explain_task(owned, job, task.task)
            for task in job.tasks.values()
        }

    def _explain_task(self, owned: OwnedShard, job: Job, name: str) -> str:
        task = job.tasks[name]
        if task.ended:
            return f"ended: {task.last_ending}"
        return self._starter.explain(owned, name)


def endpoint_name(assignment: Assignment) -> str:
    """Return the endpoint name of a running service task."""
    return f"{assignment.task}#{assignment.attempt}"
