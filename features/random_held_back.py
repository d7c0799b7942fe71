"""The random shards of :mod:`random_shard`, with leaders that hold jobs back.

``python features/random_held_back.py FIRST LAST [EXTRA]`` runs these seeds; ``EXTRA``
adds events as there."""

import random
import sys
import unittest.mock

from granitetrestle.jobrestore import JobsApart
from granitetrestle.scheduler import Scheduler
from granitetrestle_standins import shardprocess
from granitetrestle_standins.shardworld import PromiseBroken
from random_shard import RandomShard

HELD_BACK_SHARE = 0.5


class RandomHeldBack(RandomShard):
    """One seed: each leader holds some jobs back, but for the last one."""

    def __init__(self, seed, extra=""):
        self._held_back_draw = random.Random(f"held back {seed}")
        self._holds_back = True
        super().__init__(seed, extra)

    def _scheduler(self, parameters, now):
        scheduler = Scheduler(parameters, now)
        if self._holds_back:
            held_back = tuple(
                job
                for job in self._jobs
                if self._held_back_draw.random() < HELD_BACK_SHARE
            )
            scheduler.state.jobs_apart = JobsApart(held_back=held_back)
        return scheduler

    def run(self):
        """See :meth:`RandomShard.run`."""
        settle = self.world.settle

        def settle_with_all(seconds):
            self._holds_back = False
            self.world.store_down = False
            self.world.take_over()
            settle(seconds)

        with (
            unittest.mock.patch.object(shardprocess, "Scheduler", self._scheduler),
            unittest.mock.patch.object(self.world, "settle", settle_with_all),
        ):
            super().run()


def main():
    """Run the seeds; returns the exit code."""
    first, last, *extra = sys.argv[1:]
    broken = 0
    for seed in range(int(first), int(last)):
        try:
            RandomHeldBack(seed, *extra).run()
        except PromiseBroken as error:
            broken += 1
            print(f"seed {seed}: {error}", flush=True)
    print(f"{broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
