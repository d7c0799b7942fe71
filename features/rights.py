"""A leader lease whose age the test sets."""

from granitetrestle.leaderlease import LeaderLease


class FixedLeaderLease(LeaderLease):
    """A lease that is always valid and has a given age."""

    def __init__(self, age_s=0.0):
        self.given_age_s = age_s

    def age_s(self):
        return self.given_age_s

    def renewal_age_s(self):
        return 0.0

    def is_valid(self):
        return True

    async def wait_until_valid(self):
        pass


CONFIRMED_LEASE = FixedLeaderLease()
