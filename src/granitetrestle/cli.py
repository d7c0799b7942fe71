"""``granitetrestle``: command line for accounts and operators. Every command prints
a table, or with ``--json`` the answer itself, and its exit code gives the kind of
failure."""

import os
import sys
import time
import typing as t

import msgspec
from absl import flags

from .client import Client
from .errors import GranitetrestleError
from .errors import InvalidInput
from .errors import NotFound
from .errors import UnreachableError
from .explaincommand import Result
from .explaincommand import Rows
from .explaincommand import explain
from .explaincommand import explain_flags

__all__ = ["main"]

ENV_PREFIX = "GRANITETRESTLE_"
IN_FORCE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1


class Command(t.NamedTuple):
    """A command: its words, arguments, summary, flags and function."""

    words: tuple[str, ...]
    arguments: tuple[str, ...]
    summary: str
    define_flags: t.Callable[[flags.FlagValues], None]
    run: t.Callable[[Client, list[str], t.Any], Result]


def _no_flags(values: flags.FlagValues) -> None:
    return


def _table_show(client: Client, args: list[str], options: t.Any) -> Result:
    answer = client.call("GET", "/v1/table")
    rows = [
        [account, column, cell["value"], cell["version"]]
        for account, cells in answer["rows"].items()
        for column, cell in cells.items()
    ]
    return Result(answer, ["ACCOUNT", "COLUMN", "VALUE", "VERSION"], rows)


def _table_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_integer(
        "version",
        None,
        "expected version of the cell; default: the current one",
        flag_values=values,
    )
    flags.DEFINE_bool(
        "wait", True, "wait until the change is in force", flag_values=values
    )


def _table_set(client: Client, args: list[str], options: t.Any) -> Result:
    account, column, text = args
    version = options.version
    if version is None:
        rows = client.call("GET", "/v1/table")["rows"]
        version = rows.get(account, {}).get(column, {}).get("version", 0)
    edit = {
        "account": account,
        "column": column,
        "value": _number_or_text(text),
        "seen_version": version,
    }
    answer = client.call("PATCH", "/v1/table", {"edits": [edit]})
    answer |= _wait_until_in_force(client, answer["offset"], options.wait)
    header = ["ACCEPTED AT", "IN FORCE", "NOT YET", "UNREACHABLE HALLS"]
    row = [
        answer["offset"],
        len(answer["in_force"]),
        ",".join(answer["pending"]) or "-",
        ",".join(answer["unreachable"]) or "-",
    ]
    return Result(answer, header, [row])


def _number_or_text(text: str) -> float | str:
    try:
        return float(text)
    except ValueError:
        return text


def _wait_until_in_force(
    client: Client, offset: int, wait: bool
) -> dict[str, list[str]]:
    """Wait until a change is in force in all live processes that can be reached.

    :param offset: log offset of the change.
    :param wait: whether to wait, for up to ``IN_FORCE_TIMEOUT_S``, or ask just once.
    """
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        status = client.call("GET", "/v1/status")
        nodes = [n for hall in status["halls"] for n in hall["nodes"]]
        in_force = [n["node"] for n in nodes if (n["offset"] or 0) >= offset]
        late = [n["node"] for n in nodes if (n["offset"] or 0) < offset]
        not_live = {n["node"] for n in nodes if not n["live"]}
        halls = [h["hall"] for h in status["halls"] if not h["reachable"]]
        if not wait or set(late) <= not_live or time.monotonic() > deadline:
            return {"in_force": in_force, "pending": late, "unreachable": halls}
        time.sleep(POLL_INTERVAL_S)


def _job_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_float("cores", 1.0, "processors of a task", flag_values=values)
    flags.DEFINE_float("memory_gb", 1.0, "memory of a task in GB", flag_values=values)
    flags.DEFINE_integer(
        "accelerators", 0, "accelerators of a task", flag_values=values
    )
    flags.DEFINE_integer("tasks", 1, "number of tasks", flag_values=values)
    flags.DEFINE_float("run_s", 0.0, "declared run time in seconds", flag_values=values)
    flags.DEFINE_bool(
        "urgent",
        False,
        "start before the account's other jobs; may evict batch",
        flag_values=values,
    )


def _submit(client: Client, options: t.Any, kind: str, service: str) -> Result:
    spec = {
        "kind": kind,
        "service": service,
        "cores": options.cores,
        "memory_gb": options.memory_gb,
        "accelerators": options.accelerators,
        "tasks": options.tasks,
        "run_s": options.run_s,
        "urgent": options.urgent,
    }
    answer = client.call("POST", "/v1/jobs", spec)
    return Result(answer, ["JOB", "OFFSET"], [[answer["subject"], answer["offset"]]])


def _job_submit(client: Client, args: list[str], options: t.Any) -> Result:
    return _submit(client, options, "batch", "")


def _service_create(client: Client, args: list[str], options: t.Any) -> Result:
    return _submit(client, options, "service", args[0])


def _job_show(client: Client, args: list[str], options: t.Any) -> Result:
    answer = client.call("GET", f"/v1/jobs/{args[0]}")
    rows = [
        [x["task"], x["attempt"], _task_state(x), x["evictions"], x["failures"]]
        for x in answer["tasks"]
    ]
    header = ["TASK", "ATTEMPT", "STATE", "EVICTIONS", "FAILURES"]
    return Result(answer, header, rows)


def _task_state(task: dict[str, t.Any]) -> str:
    return str(task["last_ending"]) if task["ended"] else "open"


def _job_list(client: Client, args: list[str], options: t.Any) -> Result:
    status = client.call("GET", "/v1/status")
    answer: dict[str, t.Any] = {"jobs": [], "unreachable": []}
    for hall in [h["hall"] for h in status["halls"]]:
        try:
            answer["jobs"] += client.call("GET", f"/v1/jobs?hall={hall}")
        except UnreachableError:
            answer["unreachable"].append(hall)
    rows = [
        [x["job"], x["account"], x["kind"], x["state"], len(x["tasks"])]
        for x in answer["jobs"]
    ]
    rows += [
        [f"(hall {hall})", "-", "-", "unreachable", "-"]
        for hall in answer["unreachable"]
    ]
    return Result(answer, ["JOB", "ACCOUNT", "KIND", "STATE", "TASKS"], rows)


def _job_cancel(client: Client, args: list[str], options: t.Any) -> Result:
    answer = client.call("DELETE", f"/v1/jobs/{args[0]}")
    return Result(answer, ["JOB", "OFFSET"], [[answer["subject"], answer["offset"]]])


def _service_list(client: Client, args: list[str], options: t.Any) -> Result:
    answer = client.call("GET", "/v1/services")
    rows = [
        [x["service"], x["slots_here"], ",".join(x["halls"]) or "-"] for x in answer
    ]
    return Result(answer, ["SERVICE", "SLOTS HERE", "OTHER HALLS"], rows)


def _box_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string("hall", "", "data hall; default: all", flag_values=values)


def _box_list(client: Client, args: list[str], options: t.Any) -> Result:
    halls = [options.hall] if options.hall else _halls(client)
    answer: list[dict[str, t.Any]] = []
    for hall in halls:
        answer += client.call("GET", f"/v1/boxes?hall={hall}")
    rows = [
        [x["box"], x["rack"], x["state"], x["owner"], x["cores"], x["free_cores"]]
        for x in answer
    ]
    header = ["BOX", "RACK", "STATE", "OWNER", "CORES", "FREE (owner only)"]
    return Result(answer, header, rows)


def _halls(client: Client) -> list[str]:
    return [h["hall"] for h in client.call("GET", "/v1/status")["halls"]]


def _hall_of_box(client: Client, box: str) -> str:
    for hall in _halls(client):
        boxes = client.call("GET", f"/v1/boxes?hall={hall}")
        if any(x["box"] == box for x in boxes):
            return hall
    raise NotFound(f"no box {box}", "see: granitetrestle box list")


def _drain_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_bool("undo", False, "end the drain", flag_values=values)


def _box_drain(client: Client, args: list[str], options: t.Any) -> Result:
    body = {"drained": not options.undo}
    hall = _hall_of_box(client, args[0])
    answer = client.call("PATCH", f"/v1/boxes/{args[0]}?hall={hall}", body)
    return Result(answer, ["BOX", "OFFSET"], [[answer["subject"], answer["offset"]]])


def _hall_list(client: Client, args: list[str], options: t.Any) -> Result:
    answer = client.call("GET", "/v1/status")["halls"]
    rows = [[h["hall"], _hall_state(h), len(h["nodes"])] for h in answer]
    return Result(answer, ["HALL", "STATE", "NODES"], rows)


def _hall_state(hall: dict[str, t.Any]) -> str:
    if not hall["reachable"]:
        return "unreachable"
    return "evacuated" if hall["evacuated"] else "in use"


def _hall_evacuate(client: Client, args: list[str], options: t.Any) -> Result:
    return _send_directive(client, args[0], True)


def _hall_restore(client: Client, args: list[str], options: t.Any) -> Result:
    return _send_directive(client, args[0], False)


def _send_directive(client: Client, hall: str, evacuated: bool) -> Result:
    answer = client.call("PATCH", f"/v1/halls/{hall}", {"evacuated": evacuated})
    return Result(answer, ["HALL", "OFFSET"], [[answer["subject"], answer["offset"]]])


def _status(client: Client, args: list[str], options: t.Any) -> Result:
    answer = client.call("GET", "/v1/status")
    rows: Rows = []
    for hall in answer["halls"]:
        owners = ",".join(f"{s}:{o or '-'}" for s, o in hall["owners"].items())
        for node in hall["nodes"]:
            state = "live" if node["live"] else "not heard"
            if not hall["reachable"]:
                state = "hall unreachable"
            elif hall["evacuated"]:
                state += ", hall evacuated"
            rows.append(
                [hall["hall"], node["node"], state, node["offset"], owners or "-"]
            )
    header = ["HALL", "NODE", "STATE", "TABLE OFFSET", "SHARD OWNERS"]
    return Result(answer, header, rows)


COMMANDS: t.Final = (
    Command(("table", "show"), (), "show the table", _no_flags, _table_show),
    Command(
        ("table", "set"),
        ("ACCOUNT", "COLUMN", "VALUE"),
        "change a cell",
        _table_flags,
        _table_set,
    ),
    Command(("job", "submit"), (), "submit a batch job", _job_flags, _job_submit),
    Command(("job", "show"), ("JOB",), "show a job", _no_flags, _job_show),
    Command(("job", "list"), (), "list jobs of all halls", _no_flags, _job_list),
    Command(("job", "cancel"), ("JOB",), "cancel a job", _no_flags, _job_cancel),
    Command(
        ("service", "create"),
        ("SERVICE",),
        "run replicas of a service",
        _job_flags,
        _service_create,
    ),
    Command(("service", "list"), (), "list services", _no_flags, _service_list),
    Command(("box", "list"), (), "list boxes", _box_flags, _box_list),
    Command(("box", "drain"), ("BOX",), "drain a box", _drain_flags, _box_drain),
    Command(("hall", "list"), (), "list data halls", _no_flags, _hall_list),
    Command(
        ("hall", "evacuate"),
        ("HALL",),
        "evacuate a hall: nothing further starts there",
        _no_flags,
        _hall_evacuate,
    ),
    Command(
        ("hall", "restore"),
        ("HALL",),
        "restore an evacuated hall",
        _no_flags,
        _hall_restore,
    ),
    Command(
        ("status",),
        (),
        "show halls, shard owners and table offsets",
        _no_flags,
        _status,
    ),
    Command(
        ("explain",),
        ("JOB",),
        "explain a job's state; with all: how all jobs spent their time; with failed: "
        "why jobs were failed; with room: processor time",
        explain_flags,
        explain,
    ),
)


def _find_command(words: list[str]) -> Command | None:
    for command in COMMANDS:
        if tuple(words[: len(command.words)]) == command.words:
            return command
    return None


def _usage() -> str:
    lines = ["usage: granitetrestle COMMAND [ARGUMENTS] [--json] [--help]", ""]
    for command in COMMANDS:
        words = " ".join((*command.words, *command.arguments))
        lines.append(f"  {words:40} {command.summary}")
    lines += [
        "",
        "  --entries IP:PORT,...   (GRANITETRESTLE_ENTRIES) entries or the load balancer",
        "  --token NAME.SECRET     (GRANITETRESTLE_TOKEN) account or operator",
        "",
        "exit codes: 0 done, 2 bad input, 3 access denied, 4 not found, 5 conflict,",
        "            6 not run (retry later), 7 unknown (check first), 8 unreachable",
    ]
    return "\n".join(lines)


def _parse(command: Command, argv: list[str]) -> tuple[list[str], t.Any]:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    entries = os.environ.get(f"{ENV_PREFIX}ENTRIES", "127.0.0.1:8080")
    token = os.environ.get(f"{ENV_PREFIX}TOKEN", "")
    flags.DEFINE_list(
        "entries",
        entries,
        "addresses of entries or of the load balancer",
        flag_values=values,
    )
    flags.DEFINE_string("token", token, "bearer token", flag_values=values)
    flags.DEFINE_bool("json", False, "print the answer as JSON", flag_values=values)
    command.define_flags(values)
    if {"--help", "-h"} & set(argv):
        words = " ".join((*command.words, *command.arguments))
        print(f"usage: granitetrestle {words}\n{command.summary}\n")
        print(values.get_help())
        raise SystemExit(0)
    try:
        rest = values(["granitetrestle", *argv])
    except flags.Error as error:
        raise InvalidInput(str(error)) from error
    args = rest[1:]
    if len(args) != len(command.arguments):
        expected = " ".join(command.arguments) or "none"
        raise InvalidInput(
            f"arguments of {' '.join(command.words)}: {expected}, not {len(args)}"
        )
    return args, values


def _print_result(result: Result, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(result.answer).decode())
        return
    table = [
        result.header,
        *([_cell_text(cell) for cell in row] for row in result.rows),
    ]
    widths = [max(len(row[i]) for row in table) for i in range(len(result.header))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())
    if result.text:
        print("", *result.text, sep="\n")


def _cell_text(cell: t.Any) -> str:
    if cell is None:
        return "-"
    return f"{cell:g}" if isinstance(cell, float) else str(cell)


def run(argv: list[str]) -> int:
    """Run one command and return the exit code."""
    command = _find_command(argv)
    if command is None:
        print(_usage())
        return 0 if not argv or argv[0] in ("--help", "-h", "help") else 2
    try:
        args, options = _parse(command, argv[len(command.words) :])
        client = Client(options.entries, options.token)
        _print_result(command.run(client, args, options), options.json)
    except GranitetrestleError as error:
        step = f"\n  next: {error.next_step}" if error.next_step else ""
        print(f"granitetrestle: {error.code}: {error.message}{step}", file=sys.stderr)
        return error.exit_code
    return 0


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
