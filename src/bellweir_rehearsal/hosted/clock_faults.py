"""Faults of a soak that strike clocks: the time of day jumps and returns."""

from bellweir_rehearsal.hosted.fault import SoakFault

SECONDS = (0.5, 10.0)
MINUTES = (60.0, 600.0)
"""Shortest and longest jumps, in seconds."""


class ClockStep(SoakFault):
    """The time of day of some machines jumps by seconds, ahead or back, and returns.

    No machine is lost by it, so others faults may strike the same machines meanwhile.
    """

    range_s = SECONDS

    def strike(self) -> None:
        """Set the clocks, each machine's by another jump or all alike."""
        names = [*self.deployment.names("gateway"), *self.deployment.names("store")]
        self._stepped = self.chance.sample(names, self.chance.randint(1, len(names)))
        is_alike = self.chance.random() < 0.5
        offset_s = self._offset_s()
        for name in self._stepped:
            self.deployment.set_clock(name, offset_s if is_alike else self._offset_s())

    def mend(self) -> None:
        """Set them right."""
        for name in self._stepped:
            self.deployment.set_clock(name, 0.0)

    def _offset_s(self) -> float:
        return self.chance.choice((-1, 1)) * self.chance.uniform(*self.range_s)


class LongClockStep(ClockStep):
    """The same by minutes, longer than ended jobs are kept."""

    longest_s = 8.0
    range_s = MINUTES
