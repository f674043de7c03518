"""Places waiting texts at engines by when they would end there.

The load: texts of unlike length at engines of unlike speed, with most places taken. The engine with
a free place is then often a slow one, and a long text that is put there holds its whole group. So
for each text the end is predicted at each engine, at once where a place is free, else from the end
of the run there that ends first. Where waiting ends sooner, the text waits and the free place goes
to a shorter one, for which the engine's speed matters less. A text waits so for a bounded time: the
predictions may be wrong.

Memory counts as well as places: what the texts at an engine may take together never exceeds what
it has, as long as it runs more than one. An engine that lacks memory puts running texts back and
reads them anew.

>>> fast = EngineRoom("fast", pace_s=0.05, places=1, ends_s=[1.0])
>>> slow = EngineRoom("slow", pace_s=0.1, places=1)
>>> texts = [TextNeed("long", 60), TextNeed("short", 10)]
>>> [(one.key, one.engine, one.is_now) for one in EarliestEnd().place(texts, [fast, slow], 0.0)]
[('long', 'fast', False), ('short', 'slow', True)]
"""

import heapq
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

CROWDING = 0.25
"""Share by which an engine that batches is slower with all of its places taken."""
LONGEST_HOLD_S = 1.0
"""A text waits no longer for a better engine while another one has room."""
MOST_HELD = 12
"""Texts that wait for better engines in one look; further ones take what is free."""

Key = TypeVar("Key")
EngineKey = TypeVar("EngineKey")


class TextNeed(Generic[Key]):
    """A text that waits for a place."""

    __slots__ = ("events", "key", "tokens", "waited_s")

    def __init__(self, key: Key, events: float, tokens: int = 0, waited_s: float = 0.0) -> None:
        """`events` are still to be made; `tokens` of memory are taken while they are made.

        `waited_s`: how long it has waited although an engine had room for it.
        """
        self.key = key
        self.events = events
        self.tokens = tokens
        self.waited_s = waited_s


class EngineRoom(Generic[EngineKey]):
    """An engine and what it has in hand; changed by placing."""

    __slots__ = ("ends_s", "free_tokens", "key", "pace_s", "places", "runs")

    def __init__(
        self,
        key: EngineKey,
        pace_s: float,
        places: int,
        ends_s: Iterable[float] = (),
        free_tokens: int | None = None,
    ) -> None:
        """`ends_s`: when each run there is expected to end; `pace_s`: seconds an event.

        `free_tokens` of memory are left; None: it is not known.
        """
        self.key = key
        self.pace_s = pace_s
        self.places = places
        self.ends_s = list(ends_s)
        heapq.heapify(self.ends_s)
        self.runs = len(self.ends_s)
        self.free_tokens = free_tokens

    @property
    def has_place(self) -> bool:
        """Whether a text may begin now, as far as places go."""
        return self.runs < self.places

    def has_memory(self, text: TextNeed[Key]) -> bool:
        """Whether there is memory for a text; an engine without runs takes any."""
        return self.free_tokens is None or self.runs == 0 or text.tokens <= self.free_tokens

    def end_s(self, text: TextNeed[Key], now_s: float) -> float:
        """When a text would end here if it took the first place that gets free."""
        begins_s = now_s
        if len(self.ends_s) >= self.places > 0:
            begins_s = max(now_s, self.ends_s[0])
        share = min(self.places, len(self.ends_s) + 1) / max(1, self.places)
        return begins_s + text.events * self.pace_s * (1 + CROWDING * share)

    def take(self, text: TextNeed[Key], now_s: float, *, is_now: bool) -> None:
        """Give a text the first place that gets free."""
        end_s = self.end_s(text, now_s)
        if len(self.ends_s) >= self.places:
            heapq.heapreplace(self.ends_s, end_s)
        else:
            heapq.heappush(self.ends_s, end_s)
        if is_now:
            self.runs += 1
            if self.free_tokens is not None:
                self.free_tokens -= text.tokens


class Placed(Generic[Key, EngineKey]):
    """Where a text goes."""

    __slots__ = ("end_s", "engine", "is_now", "key")

    def __init__(self, key: Key, engine: EngineKey, end_s: float, *, is_now: bool) -> None:
        """`end_s` is the predicted end; without `is_now` the text waits for the engine."""
        self.key = key
        self.engine = engine
        self.end_s = end_s
        self.is_now = is_now


class Placement(ABC):
    """Places texts, in their order, as long as an engine has a place."""

    def place(
        self,
        texts: Iterable[TextNeed[Key]],
        engines: Sequence[EngineRoom[EngineKey]],
        now_s: float,
    ) -> list[Placed[Key, EngineKey]]:
        """Return where texts go; those that are not named wait for any place."""
        placed: list[Placed[Key, EngineKey]] = []
        held = 0
        for text in texts:
            free = [engine for engine in engines if engine.has_place]
            if not free:
                break
            # With so many waiting for better engines the others are needed too.
            chosen = self.choose(text, engines if held < MOST_HELD else free, now_s)
            if chosen is None:
                continue
            is_now = chosen.has_place and chosen.has_memory(text)
            placed.append(Placed(text.key, chosen.key, chosen.end_s(text, now_s), is_now=is_now))
            chosen.take(text, now_s, is_now=is_now)
            held += not is_now
        return placed

    @abstractmethod
    def choose(
        self, text: TextNeed[Key], engines: Sequence[EngineRoom[EngineKey]], now_s: float
    ) -> EngineRoom[EngineKey] | None:
        """Return the engine for a text; None: it waits for any."""


class FastestFree(Placement):
    """The engine with a free place that makes events fastest."""

    def choose(
        self, text: TextNeed[Key], engines: Sequence[EngineRoom[EngineKey]], now_s: float
    ) -> EngineRoom[EngineKey] | None:
        """Return the fastest engine that can begin now."""
        free = [one for one in engines if one.has_place and one.has_memory(text)]
        return min(free, key=lambda one: one.end_s(text, now_s), default=None)


class EarliestEnd(Placement):
    """The engine at which a text ends first, also if it has to wait for it."""

    def choose(
        self, text: TextNeed[Key], engines: Sequence[EngineRoom[EngineKey]], now_s: float
    ) -> EngineRoom[EngineKey] | None:
        """Return the engine with the first end, one that can begin now after a long wait."""
        free = [one for one in engines if one.has_place and one.has_memory(text)]
        found = free if text.waited_s >= LONGEST_HOLD_S else [*engines]
        best = min(found, key=lambda one: one.end_s(text, now_s), default=None)
        if best in free or not free:
            return best if free else None
        # Of equal ends the one that begins now.
        first = min(free, key=lambda one: one.end_s(text, now_s))
        is_no_later = best is None or first.end_s(text, now_s) <= best.end_s(text, now_s)
        return first if is_no_later else best
