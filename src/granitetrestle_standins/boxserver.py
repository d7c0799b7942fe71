"""A stand-in box that speaks the platform's HTTP formats, with hooks for tests: they
let it hang, delay commands, crash and restart, and return everything it recorded."""

import asyncio
import json
import math
import random
import time
import typing as t

from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import CommandRejected
from granitetrestle.interfaces import PollResult
from granitetrestle_standins.boxprofiles import BoxProfile
from granitetrestle_standins.boxprofiles import TaskEnd
from granitetrestle_standins.boxprofiles import parse_spec
from granitetrestle_standins.nativebox import BoxModel
from granitetrestle_standins.nativebox import BoxRun
from granitetrestle_standins.serving import Gate

__all__ = ["NOT_LISTED", "BoxServer", "Reply", "json_reply"]

NOT_LISTED: t.Final = "none"

TICK_INTERVAL_S: t.Final = 0.02
# Range of the delay of an unanswered call; the specification says only "seconds".
COMMAND_DELAY_S: t.Final = (0.2, 6.0)
# Until a box that a task crashed starts again, under another id.
CULPRIT_DOWN_S: t.Final = 1.0
WRONG_BOX_STATUS: t.Final = 421


class Reply(t.NamedTuple):
    """An HTTP response."""

    status: int
    body: bytes


def json_reply(status: int, body: t.Any) -> Reply:
    """Return a response with a JSON body."""
    return Reply(status, json.dumps(body).encode())


class BoxServer:
    """The successive incarnations of a box at one address. A task's ``spec`` holds its
    run time in milliseconds, its demand and its end, which may be a crash of the box;
    see :func:`.parse_spec`. Hooks:

    ``POST /test/silent?s=S`` leaves calls unanswered for S seconds, while tasks run;
    ``POST /test/late?share=P&s=S`` leaves that share of calls unanswered for S seconds,
    and executes each some seconds later; ``POST /test/crash?s=S`` ends the incarnation
    and starts another after S seconds, under another id or, with ``keep=1``, under the
    same one; with ``list=S`` it is listed S seconds after its start; ``POST
    /test/entry?state=STATE`` changes its list entry; ``POST
    /test/odd?field=F&text=T&s=S`` puts T in place of a field of the answers to polls for
    S seconds; ``POST /test/leave?how=HOW`` lets
    it leave for good, ``gone`` (connections are refused) or ``dark`` (calls remain
    unanswered), and returns when, and which incarnation did; ``POST /test/runs`` returns
    each run, with :meth:`.BoxModel.end_counts` as the last column; ``POST /test/facts``
    returns everything that its incarnations recorded.

    :param update_entry: called with the box to list, and with its previous id if that
        is to be removed, otherwise an empty string.
    :param gate: gate of its address, shut while no incarnation answers.
    :ivar entry_state: state in its list entry; :data:`NOT_LISTED` if it has none.
    """

    def __init__(
        self,
        name: str,
        hall: str,
        profile: BoxProfile,
        draw: random.Random,
        update_entry: t.Callable[["BoxServer", str], None],
        gate: Gate | None = None,
    ) -> None:
        self.box_id = name
        self.gate = gate or Gate()
        self.entry_state = "ready"
        self._name = name
        self._hall = hall
        self._profile = profile
        self._draw = draw
        self._update_entry = update_entry
        self._incarnations: list[BoxModel] = []
        self._start_incarnation()
        self._silent_until = 0.0
        self._delay_until = 0.0
        self._delayed_share = 0.0
        self._down_until: float | None = None
        self._keep_id = False
        self._list_after_s = 0.0
        self._previous_id = ""
        self._list_at: float | None = None
        self._has_left = False
        self._odd_field = self._odd_text = ""
        self._odd_until = 0.0
        self._delayed_calls: set[asyncio.Task[None]] = set()

    @property
    def model(self) -> BoxModel:
        """The current incarnation."""
        return self._incarnations[-1]

    def _start_incarnation(self) -> None:
        started_ms = time.time_ns() // 1_000_000
        incarnation = f"{self.box_id}@{started_ms}"
        parts = (None, self._profile, self._draw, self._start_time(), started_ms)
        self._incarnations.append(BoxModel(incarnation, *parts))

    def _restart(self, now: float) -> None:
        self._down_until = None
        self._previous_id = ""
        if not self._keep_id:
            self._previous_id = self.box_id
            self.box_id = f"{self._name}-{len(self._incarnations)}"
        self._start_incarnation()
        self.gate.open()
        self._list_at = now + self._list_after_s

    def _start_time(self) -> float:
        """Return the start time of an incarnation; 0 for the plain profile, whose clock
        equals the platform's."""
        plain = self._profile.clock_rate == 1.0 and not self._profile.clock_origin_s
        return 0.0 if plain else time.monotonic()

    async def run(self) -> None:
        """Restart and list the box and end its tasks when due."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = time.monotonic()
            if self._down_until is not None and now >= self._down_until:
                self._restart(now)
            if self._list_at is not None and now >= self._list_at:
                self._list_at = None
                self._update_entry(self, self._previous_id)
            self.model.tick(now)
            self._end_tasks(now)

    def _end_tasks(self, now: float) -> None:
        for run in list(self.model.running.values()):
            spec = parse_spec(run.spec)
            if run.stop_ends is not None or now - run.began < spec.run_ms / 1000.0:
                continue
            if spec.end is TaskEnd.CRASH:
                down_s = math.inf if self._has_left else CULPRIT_DOWN_S
                self._crash(now, down_s, culprit=run.task)
                return
            self.model.end(run.task, spec.end.value, now)

    def _crash(
        self,
        now: float,
        down_s: float,
        keep_id: bool = False,
        list_after_s: float = 0.0,
        culprit: str = "",
    ) -> None:
        """End the incarnation; another one starts after ``down_s``."""
        if self._down_until is None:
            self.model.crash(now, culprit)
            self.gate.shut()
        self._down_until = now + down_s
        self._keep_id = keep_id
        self._list_after_s = list_after_s

    def hook(self, path: str, query: t.Mapping[str, str]) -> Reply:
        """Handle a call to a test hook."""
        now = time.monotonic()
        if path == "/test/entry":
            self.entry_state = query["state"]
            self._update_entry(self, "")
        elif path == "/test/leave":
            return self._leave(query["how"], now)
        elif self._has_left and path in ("/test/silent", "/test/crash"):
            pass
        elif path == "/test/silent":
            self._silent_until = now + float(query["s"])
        elif path == "/test/odd":
            self._odd_field, self._odd_text = query["field"], query["text"]
            self._odd_until = now + float(query["s"])
        elif path == "/test/late":
            self._delayed_share = float(query["share"])
            self._delay_until = now + float(query["s"])
        elif path == "/test/crash":
            keep_id = query.get("keep") == "1"
            list_after_s = float(query.get("list", "0"))
            self._crash(now, float(query["s"]), keep_id, list_after_s)
        elif path == "/test/facts":
            facts = [model.facts(self._hall)._asdict() for model in self._incarnations]
            return json_reply(200, facts)
        else:
            if path == "/test/runs":
                rows = [
                    _run_row(m, run) for m in self._incarnations for run in m.history
                ]
                return json_reply(200, rows)
            history = [run for model in self._incarnations for run in model.history]
            return json_reply(200, [[r.task, r.run, r.how] for r in history])
        return json_reply(200, {})

    def _leave(self, how: str, now: float) -> Reply:
        self._has_left = True
        self._list_at = None
        if how == "dark":
            self._silent_until = math.inf
        else:
            self._crash(now, math.inf)
        return json_reply(200, {"at": now, "incarnation": self.model.incarnation})

    async def answer(self, path: str, expected_id: str, body: bytes) -> Reply | None:
        """Return the answer to a call, or ``None`` for no answer.

        :param expected_id: id of the box that the call addresses; empty for any.
        """
        if expected_id not in ("", self.box_id):
            return json_reply(WRONG_BOX_STATUS, {})
        now = time.monotonic()
        if now < self._silent_until or self._down_until is not None:
            return None
        command = json.loads(body or b"{}")
        if now < self._delay_until and self._draw.random() < self._delayed_share:
            delayed = asyncio.create_task(
                self._execute_delayed(path, command, self.model)
            )
            self._delayed_calls.add(delayed)
            delayed.add_done_callback(self._delayed_calls.discard)
            return None
        if path == "/api/hold":
            return await self._hold(command)
        reply = _command_reply(_execute(self.model, path, command, now, now, False))
        if path == "/api/run-start" and _crashes_unanswered(command["spec"]):
            self._end_tasks(now)
        return reply if self._down_until is None else None

    async def _execute_delayed(
        self, path: str, command: t.Mapping[str, t.Any], model: BoxModel
    ) -> None:
        arrived = time.monotonic()
        await asyncio.sleep(self._draw.uniform(*COMMAND_DELAY_S))
        if not model.alive:
            return
        now = time.monotonic()
        if path == "/api/hold":
            _poll(model, command, now)
        else:
            _execute(model, path, command, now, arrived, True)

    def _disguise(self, reply: Reply) -> Reply:
        """Return the answer to a poll, with the odd field if there is one now."""
        if time.monotonic() >= self._odd_until:
            return reply
        answer = json.loads(reply.body)
        answer.pop(self._odd_field, None)
        odd = f', "{self._odd_field}": {self._odd_text}}}'
        return Reply(reply.status, (json.dumps(answer)[:-1] + odd).encode())

    async def _hold(self, body: t.Mapping[str, t.Any]) -> Reply:
        model = self.model
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000.0
        poll = _poll(model, body, time.monotonic())
        while isinstance(poll, PollResult):
            if poll.ended or time.monotonic() >= deadline:
                return self._disguise(_poll_reply(model, poll))
            await asyncio.sleep(TICK_INTERVAL_S)
            now = time.monotonic()
            recheck = self._profile.rechecks_long_polls
            poll = _poll(model, body, now) if recheck else model.list_runs(now)
        return _command_reply(poll)


def _crashes_unanswered(text: str) -> bool:
    spec = parse_spec(text)
    return spec.end is TaskEnd.CRASH and not spec.run_ms


def _run_row(model: BoxModel, run: BoxRun) -> list[t.Any]:
    row = [run.task, run.run, run.how, run.began, run.ended, run.held_up]
    return [*row, model.end_counts(run)]


def _poll(
    model: BoxModel, body: t.Mapping[str, t.Any], now: float
) -> PollResult | CommandRejected:
    token = body.get("fencing_token", 0)
    return model.poll(body.get("last_seen", 0), body.get("until_ms"), token, now)


def _execute(
    model: BoxModel,
    path: str,
    command: t.Mapping[str, t.Any],
    now: float,
    arrived: float,
    held_up: bool,
) -> CommandAccepted | CommandRejected:
    task, run = command["task"], command["run"]
    token = command.get("fencing_token", 0)
    if path == "/api/run-start":
        spec, until_ms = command["spec"], command["until_ms"]
        return model.start(task, run, spec, until_ms, token, now, arrived, held_up)
    if path == "/api/run-stop":
        return model.stop(task, run, token, now)
    return model.pace(task, run, command["percent"], token, now)


def _poll_reply(model: BoxModel, poll: PollResult) -> Reply:
    running = [[r.task, r.run, r.checkpoint, r.percent] for r in poll.running]
    ended = [[r.number, r.task, r.run, r.how, r.checkpoint] for r in poll.ended]
    answer = {
        "born": model.started_ms,
        "clock_ms": poll.clock_ms,
        "running": running,
        "finished": ended,
    }
    return json_reply(200, answer)


def _command_reply(outcome: CommandAccepted | CommandRejected) -> Reply:
    if isinstance(outcome, CommandAccepted):
        return json_reply(200, {"clock_ms": outcome.clock_ms})
    return json_reply(409, {"clock_ms": outcome.clock_ms, "reason": outcome.reason})
