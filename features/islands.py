"""Boxes that only a leader without the store reaches."""


def cut_off_with(context, box, lost=()):
    """Cut the leader off from the store and from all boxes but an island, which its
    successors don't reach: ``box``, and as many witnesses as the scenario says.

    :param lost: boxes that are not on the island.
    """
    world = context.world
    older = world.leader
    context.island = island_around(context, box, lost)
    older.without_store = True
    older.cut_from.update(world.entries.keys() - context.island)


def island_around(context, box, lost=()):
    """Return ``box``, and as many witnesses with it as the scenario says."""
    witnesses = context.world.leader.scheduler.state.witnesses
    members = set(witnesses.panel.members)
    assert members and not witnesses.changing, witnesses.panel
    if context.island_witnesses == "no majority":
        return {box}
    wanted = witnesses.panel.majority - (box in members)
    island = {box, *sorted(members - {box, *lost})[:wanted]}
    assert len(island & members) == witnesses.panel.majority, island
    return island
