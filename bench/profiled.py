"""Runs `bellweir` with `cProfile` on its request threads and its HTTP loop.

`python -m bench.profiled OUTPUT ARGUMENTS...`: the figures of all these threads are added up and
written as text when the process ends. cProfile slows every call down, so the shares count and
the absolute times do not.
"""

import cProfile
import io
import pstats
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from waitress.task import ThreadedTaskDispatcher

from bellweir.gateway.channel import GatewayServer

LINES = 70


class ThreadProfiles:
    """One profile for each thread that runs a wrapped function."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._profiles: list[cProfile.Profile] = []

    def wrap(self, function: Callable[..., Any]) -> Callable[..., Any]:
        """Profile each thread for as long as `function` runs on it."""

        def profiled(*arguments: Any) -> Any:
            profile = cProfile.Profile()
            with self._lock:
                self._profiles.append(profile)
            return profile.runcall(function, *arguments)

        return profiled

    def text(self) -> str:
        """All profiles added up, by own and by cumulative time."""
        output = io.StringIO()
        total = pstats.Stats(stream=output)
        for profile in self._profiles:
            profile.create_stats()
            total.add(profile)
        total.sort_stats("tottime").print_stats(LINES)
        total.sort_stats("cumulative").print_stats(LINES)
        return output.getvalue()


def main(output: str, arguments: list[str]) -> None:
    """Run the command line under the profiler."""
    profiles = ThreadProfiles()
    dispatcher: Any = ThreadedTaskDispatcher
    dispatcher.handler_thread = profiles.wrap(ThreadedTaskDispatcher.handler_thread)
    server: Any = GatewayServer
    server.run_until_closed = profiles.wrap(GatewayServer.run_until_closed)
    sys.argv = ["bellweir", *arguments]
    from bellweir.cli.main import main as run

    try:
        run()
    finally:
        Path(output).write_text(profiles.text())


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
