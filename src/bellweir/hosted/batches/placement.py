"""Places waiting texts on the engines where they are predicted to end first.

A text may wait for a busy, fast engine rather than take a free slot on a slow one.

>>> fast = EngineState("fast", time_per_event_s=0.05, slots=1, end_times_s=[1.0])
>>> slow = EngineState("slow", time_per_event_s=0.1, slots=1)
>>> texts = [TextDemand("long", 60), TextDemand("short", 10)]
>>> [(one.key, one.engine, one.starts_now) for one in EarliestEnd().place(texts, [fast, slow], 0.0)]
[('long', 'fast', False), ('short', 'slow', True)]
"""

import heapq
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

BATCHING_SLOWDOWN = 0.25
"""Relative increase of the time per event when all slots of an engine are taken."""
MAX_HOLD_S = 1.0
"""A text waits at most this long for a better engine while another one has a free slot."""
MAX_HELD_TEXTS = 12
"""Texts held for better engines per scheduling round; further ones take free slots."""

Key = TypeVar("Key")
EngineKey = TypeVar("EngineKey")


class TextDemand(Generic[Key]):
    """A text that waits for a slot."""

    __slots__ = ("key", "remaining_events", "tokens", "waited_s")

    def __init__(
        self, key: Key, remaining_events: float, tokens: int = 0, waited_s: float = 0.0
    ) -> None:
        """`remaining_events` are still to be generated; `tokens` is the memory needed for that.

        `waited_s`: how long it has been held although an engine had a free slot.
        """
        self.key = key
        self.remaining_events = remaining_events
        self.tokens = tokens
        self.waited_s = waited_s


class EngineState(Generic[EngineKey]):
    """Slots, memory and predicted end times of an engine; updated by each placement."""

    __slots__ = ("end_times_s", "free_tokens", "in_flight", "key", "slots", "time_per_event_s")

    def __init__(
        self,
        key: EngineKey,
        time_per_event_s: float,
        slots: int,
        end_times_s: Iterable[float] = (),
        free_tokens: int | None = None,
    ) -> None:
        """`end_times_s`: predicted end of each run in flight.

        `free_tokens`: unused memory in tokens; None if unknown.
        """
        self.key = key
        self.time_per_event_s = time_per_event_s
        self.slots = slots
        self.end_times_s = list(end_times_s)
        heapq.heapify(self.end_times_s)
        self.in_flight = len(self.end_times_s)
        self.free_tokens = free_tokens

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot is free; memory is checked separately."""
        return self.in_flight < self.slots

    def has_memory(self, text: TextDemand[Key]) -> bool:
        """Whether there is memory for a text; an idle engine accepts any text.

        An engine that runs out of memory preempts texts and has to prefill them again.
        """
        return self.free_tokens is None or self.in_flight == 0 or text.tokens <= self.free_tokens

    def predicted_end_s(self, text: TextDemand[Key], now_s: float) -> float:
        """Predict when a text ends here if it takes the first slot that becomes free."""
        start_s = now_s
        if len(self.end_times_s) >= self.slots > 0:
            start_s = max(now_s, self.end_times_s[0])
        share = min(self.slots, len(self.end_times_s) + 1) / max(1, self.slots)
        return start_s + text.remaining_events * self.time_per_event_s * (
            1 + BATCHING_SLOWDOWN * share
        )

    def assign(self, text: TextDemand[Key], now_s: float, *, starts_now: bool) -> None:
        """Assign the first slot that becomes free to a text."""
        predicted_end_s = self.predicted_end_s(text, now_s)
        if len(self.end_times_s) >= self.slots:
            heapq.heapreplace(self.end_times_s, predicted_end_s)
        else:
            heapq.heappush(self.end_times_s, predicted_end_s)
        if starts_now:
            self.in_flight += 1
            if self.free_tokens is not None:
                self.free_tokens -= text.tokens


class PlacedText(Generic[Key, EngineKey]):
    """A text and the engine that it is assigned to."""

    __slots__ = ("engine", "key", "predicted_end_s", "starts_now")

    def __init__(
        self, key: Key, engine: EngineKey, predicted_end_s: float, *, starts_now: bool
    ) -> None:
        """If not `starts_now`, the text waits for the engine."""
        self.key = key
        self.engine = engine
        self.predicted_end_s = predicted_end_s
        self.starts_now = starts_now


class PlacementPolicy(ABC):
    """Places texts in the given order while any engine has a free slot."""

    def place(
        self,
        texts: Iterable[TextDemand[Key]],
        engines: Sequence[EngineState[EngineKey]],
        now_s: float,
    ) -> list[PlacedText[Key, EngineKey]]:
        """Return placements; texts without one wait for any free slot."""
        placed: list[PlacedText[Key, EngineKey]] = []
        held = 0
        for text in texts:
            free = [engine for engine in engines if engine.has_free_slot]
            if not free:
                break
            # Once many texts are held for better engines, the other engines are used too.
            chosen = self.choose(text, engines if held < MAX_HELD_TEXTS else free, now_s)
            if chosen is None:
                continue
            starts_now = chosen.has_free_slot and chosen.has_memory(text)
            placed.append(
                PlacedText(
                    text.key, chosen.key, chosen.predicted_end_s(text, now_s), starts_now=starts_now
                )
            )
            chosen.assign(text, now_s, starts_now=starts_now)
            held += not starts_now
        return placed

    @abstractmethod
    def choose(
        self, text: TextDemand[Key], engines: Sequence[EngineState[EngineKey]], now_s: float
    ) -> EngineState[EngineKey] | None:
        """Return the engine for a text, or None if it waits for any."""


class FastestFree(PlacementPolicy):
    """Picks the fastest engine with a free slot."""

    def choose(
        self, text: TextDemand[Key], engines: Sequence[EngineState[EngineKey]], now_s: float
    ) -> EngineState[EngineKey] | None:
        """Return the fastest engine that can start the text now."""
        free = [one for one in engines if one.has_free_slot and one.has_memory(text)]
        return min(free, key=lambda one: one.predicted_end_s(text, now_s), default=None)


class EarliestEnd(PlacementPolicy):
    """Picks the engine where the text ends first, even if it has to wait for a slot.

    The free slot then goes to a shorter text, for which the speed of the engine matters less. The
    wait is bounded by `MAX_HOLD_S`, because the prediction may be wrong.
    """

    def choose(
        self, text: TextDemand[Key], engines: Sequence[EngineState[EngineKey]], now_s: float
    ) -> EngineState[EngineKey] | None:
        """Return the engine with the earliest end; after `MAX_HOLD_S`, one with a free slot."""
        free = [one for one in engines if one.has_free_slot and one.has_memory(text)]
        found = free if text.waited_s >= MAX_HOLD_S else [*engines]
        best = min(found, key=lambda one: one.predicted_end_s(text, now_s), default=None)
        if best in free or not free:
            return best if free else None
        # On a tie, prefer the engine that can start the text now.
        first = min(free, key=lambda one: one.predicted_end_s(text, now_s))
        is_no_later = best is None or first.predicted_end_s(text, now_s) <= best.predicted_end_s(
            text, now_s
        )
        return first if is_no_later else best
