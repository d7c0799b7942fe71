"""Steps for real processes whose links go through the proxy."""

import contextlib
import json
import pathlib
import signal
import socket
import struct
import time
import unittest.mock

from behave import given
from behave import then
from behave import when

from granitetrestle_standins import linkfaults
from granitetrestle_standins import reservednet
from granitetrestle_standins.linkfaults import decode_fault
from granitetrestle_standins.links import RigFault
from granitetrestle_standins.nativecluster import NativeCluster
from granitetrestle_standins.nativesoak import soak

JOB = "00000000000000c1"
TWO_STEPS = [
    {"count": 3, "cpu": 1000, "mem_mb": 100},
    {"count": 2, "cpu": 1000, "mem_mb": 100, "depends_on": [0]},
]


@when("a cluster is started with the fault {fault}")
def bad_start(context, fault):
    context.error = None
    try:
        faults = [decode_fault(json.loads(fault))]
        context.cluster = NativeCluster(context.folder, 2, 2, links=faults)
    except linkfaults.LinkFaultError as error:
        context.error = error


@then("the fault is refused as {error}, naming {name}, and nothing was started")
def refused(context, error, name):
    assert type(context.error).__name__ == error, repr(context.error)
    assert name in str(context.error), context.error
    assert not list(context.folder.iterdir()), list(context.folder.iterdir())


@when("{count:d} runs reserve addresses, each from the same first candidate")
def reserve(context, count):
    nets = []
    for _ in range(count):
        with unittest.mock.patch.object(reservednet, "_attempts", iter(range(77, 500))):
            nets.append(reservednet.ReservedNet())
    context.addresses = [{net.platform, net.links, net.host(1)} for net in nets]
    for net in nets:
        net.close()


@then("no two have an address in common")
def nothing_common(context):
    union = set().union(*context.addresses)
    assert len(union) == 3 * len(context.addresses), context.addresses


@given("{nodes:d} processes and {boxes:d} boxes with links")
def linked_cluster(context, nodes, boxes):
    context.cluster = NativeCluster(context.folder, nodes, boxes, links=())
    context.cluster.ready()


@when("a job of 2 steps is completed")
def job_completed(context):
    context.cluster.submit(JOB, TWO_STEPS)
    context.cluster.wait(lambda: context.cluster.state(JOB) == "completed", "completed")


def sockets_of(pid):
    """Return the inode numbers of a process's sockets."""
    found = set()
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            target = str(entry.readlink())
            if target.startswith("socket:["):
                found.add(target[8:-1])
    return found


def connections(pid):
    """Return the remote addresses of a process's established connections, IP:PORT."""
    mine, found = sockets_of(pid), []
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[9] in mine and fields[3] == "01":
            ip, _, port = fields[2].partition(":")
            text = socket.inet_ntoa(struct.pack("<I", int(ip, 16)))
            found.append(f"{text}:{int(port, 16)}")
    return found


@then("every open connection to a process, a box or the store is the proxy's")
def only_through_proxy(context):
    cluster = context.cluster
    places = json.loads((context.folder / "links.json").read_text())
    real = {address for _, _, addresses in places.values() for address in addresses}
    proxied = [a for a in connections(cluster.processes["links"].pid) if a in real]
    peers = {places[name][2][0] for name in cluster.nodes()}
    boxes = {places[f"b{number}"][2][0] for number in range(cluster.boxes)}
    assert peers <= set(proxied), (peers, proxied)
    assert boxes <= set(proxied), (boxes, proxied)
    assert places["store"][2][0] in proxied, proxied
    for name in cluster.nodes():
        direct = [a for a in connections(cluster.processes[name].pid) if a in real]
        assert not direct, (name, direct)


@when("a job runs and the leader is cut off for {seconds:g} seconds")
def cut_leader(context, seconds):
    cluster = context.cluster
    cluster.submit(JOB, TWO_STEPS, spec="1500")
    cluster.wait(lambda: len(cluster.history()) == 3, "first step started")
    context.before = cluster.leader()
    started = time.monotonic()
    cluster.links.isolate(context.before)
    cluster.wait(lambda: cluster.leader() != context.before, "another", seconds)
    time.sleep(max(0.0, started + seconds - time.monotonic()))
    context.meanwhile = cluster.leader()
    cluster.links.heal()


@then("another process was the leader meanwhile")
def another_leader(context):
    assert context.meanwhile not in (None, context.before), context.meanwhile


@then("the job is completed at every process")
def completed_everywhere(context):
    cluster = context.cluster
    for name in cluster.nodes():
        cluster.wait(
            lambda n=name: cluster.state(JOB, n) == "completed", f"completed at {name}"
        )


@then("each task of the job was done once")
def done_once(context):
    done = [task for task, _, how in context.cluster.history() if how == "done"]
    wanted = [f"{JOB}.0.0.{i}" for i in range(3)] + [f"{JOB}.0.1.{i}" for i in range(2)]
    assert sorted(done) == wanted, done


@then("a cut of {hall} is refused with its name, and a cut of n1 and n7 as well")
def refused_by_name(context, hall):
    links = context.cluster.links
    for action, name, kind in (
        (lambda: links.cut_hall(hall), hall, linkfaults.UnknownHall),
        (lambda: links.cut("n1", "n7"), "n7", linkfaults.UnknownLink),
    ):
        try:
            action()
        except kind as error:
            assert name in str(error), error
        else:
            raise AssertionError(name)


@when("{hall:S} is cut off")
def hall_cut_off(context, hall):
    context.cluster.links.cut_hall(hall)


@then("a call of a client to {cut_off:w} is not answered, and one to {reachable:w} is")
def answered(context, cut_off, reachable):
    cluster = context.cluster
    cluster.wait(
        lambda: cluster.state(JOB, reachable) == "gone", f"{reachable} answers"
    )
    assert cluster.state(JOB, cut_off) is None


@when("the proxy dies")
def proxy_dies(context):
    process = context.cluster.processes["links"]
    process.send_signal(signal.SIGKILL)
    process.wait(10)


@then("the run ends as a fault of the rig")
def rig_fault(context):
    try:
        context.cluster.check_rig()
    except RigFault as error:
        assert "proxy" in str(error), error
        return
    raise AssertionError("no fault of the rig")


@then("so does the injection of a fault")
def rig_fault_again(context):
    try:
        context.cluster.links.cut("n1", "n2")
    except RigFault:
        return
    raise AssertionError("no fault of the rig")


@when(
    "{nodes:d} real processes, {boxes:d} boxes, the store and all links are disturbed "
    "{times:d} times from seed {seed:d}"
)
def disturb_links(context, nodes, boxes, times, seed):
    # Raises an error with the seed and the logs if a promise was broken.
    context.times = times
    context.counts = soak(seed, nodes, boxes, times, links=True).counts
    assert context.counts["link_fault"] > 0, context.counts
