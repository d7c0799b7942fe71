"""Steps of the scenarios about random series of changes of leader."""

from behave import given
from behave import when

from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardworld import ShardWorld
from lasting_task import lasting_task
from random_series import RandomSeries
from random_series import WorldWithoutWitnesses

# Time between two polls of a box that answers when a run ends, or after a while.
LONG_POLL_S = 1.1


@when("a series of changes of leader runs from seed {seed:d}")
def random_series(context, seed):
    for witnesses in (True, False):
        context.shard = RandomSeries(seed, witnesses)
        # Raises when a promise is broken.
        context.shard.run()


@when("a series of changes of leader runs from each of the seeds {seeds}")
def several_series(context, seeds):
    for seed in seeds.split(", "):
        random_series(context, int(seed))


@given("a shard of {boxes:d} boxes among models, {which} witnesses")
def shard_of(context, boxes, which):
    world = ShardWorld if which == "with" else WorldWithoutWitnesses
    context.world = world(7, boxes)


def next_poll(world, leader, incarnation):
    """Advance until a box is polled, as rarely as with long polls."""
    last = leader.polled_at[incarnation]
    while leader.polled_at[incarnation] == last:
        world.advance(TICK_INTERVAL_S)
    leader.polled_at[incarnation] += LONG_POLL_S - 2 * TICK_INTERVAL_S


@when(
    "the box of a long-running task accepts no connection just as its leader, without "
    "the store, may no longer renew its lease"
)
def refused_without_renewal(context):
    world = context.world
    context.task = lasting_task(context)
    leader, box = world.leader, context.task.box
    next_poll(world, leader, box)
    leader.without_store = True
    # Two more polls renew the lease, and the third would come too late to do so.
    next_poll(world, leader, box)
    world.refusing.add(box)
    next_poll(world, leader, box)


@when("the store is back for that leader")
def store_back(context):
    context.world.leader.without_store = False
    context.world.advance(8.0)
