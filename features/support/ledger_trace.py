"""Prints what a simulated day of changes did, as a process of its own: `... SEED`.

The global generator is drawn from now and then by as much as this process's hashes say, as threads
of other scenarios do, so that nothing may depend on it either.
"""

import random
import sys

import structlog
from features.steps.ledger_redundancy_steps import DayOfChanges


def trace_of(seed):
    """Messages, log lines, changes and items of a day, in order."""
    lines = []

    def note(_logger, _method, event):
        lines.append(repr(sorted(event.items())))
        raise structlog.DropEvent

    structlog.configure(processors=[note])
    day = DayOfChanges(seed)
    simulation = day.simulation
    request, send = simulation.request, simulation.send

    def noted(call):
        def pass_on(origin, target, message):
            for _ in range(hash(origin + target) % 3):
                random.random()
            lines.append(
                f"{simulation.clock.monotonic_s():.2f} {origin} {target} {type(message).__name__}"
            )
            return call(origin, target, message)

        return pass_on

    simulation.request, simulation.send = noted(request), noted(send)
    day.play()
    simulation.close()
    return [*lines, *day.told, repr(simulation.acknowledged)]


if __name__ == "__main__":
    sys.stdout.write("\n".join(trace_of(int(sys.argv[1]))))
