"""Judges whether a connection to a peer has gone silent.

Only time that the judging node has itself watched counts, so one that was suspended doubts none of
its connections for the time in which it read nothing.
"""

import random
from enum import Enum, auto

ASK_SHARE = 1 / 8
"""Share of the contact bound without a byte after a write, until the peer is asked to answer."""
WAITING_ASK_SHARE = 1 / 3
"""The same while requests wait for their answers and nothing was written since the last byte."""
DOUBT_SHARE = 1 / 6
"""Share without a byte after the question, until a second connection is tried."""
LOOK_SHARE = 1 / 16
ATTEMPT_SHARE = 1 / 2
GRACE_SHARE = 1 / 16
FIRST_PAUSE_SHARE = 1 / 4
LONGEST_PAUSE_SHARE = 2.0
DOUBT_JITTER = 0.25
PAUSE_JITTER = 0.5
MAXIMUM_LOOK_PERIODS = 2
"""Of the time between two looks, at most this many periods count as watched."""


class SilenceBounds:
    """Times in seconds, all shares of the time within which nodes must be in contact again.

    >>> SilenceBounds(3.2).look_period_s
    0.2
    """

    __slots__ = (
        "ask_after_s",
        "attempt_s",
        "doubt_after_s",
        "first_pause_s",
        "grace_s",
        "longest_pause_s",
        "look_period_s",
        "sign_period_s",
        "waiting_ask_after_s",
    )

    def __init__(self, contact_s: float) -> None:
        self.look_period_s = LOOK_SHARE * contact_s
        self.ask_after_s = ASK_SHARE * contact_s
        self.waiting_ask_after_s = WAITING_ASK_SHARE * contact_s
        self.doubt_after_s = DOUBT_SHARE * contact_s
        self.sign_period_s = ASK_SHARE * contact_s
        """Least time between two signs of life of a node that receives a long frame."""
        self.attempt_s = ATTEMPT_SHARE * contact_s
        """Time for a second connection, its handshake included."""
        self.grace_s = GRACE_SHARE * contact_s
        """Time left to the first connection once the second one is welcomed."""
        self.first_pause_s = FIRST_PAUSE_SHARE * contact_s
        self.longest_pause_s = LONGEST_PAUSE_SHARE * contact_s


class Step(Enum):
    """What is to be done about a connection."""

    NOTHING = auto()
    ASK = auto()
    """Ask the peer for a sign of life."""
    TRY_ANOTHER = auto()
    """Open a second connection; `attempt_failed` tells when that came to nothing."""


class LinkSilence:
    """What is known of one connection's silence.

    `note_written` and `note_received` may be called from any thread, `look` from one.

    >>> silence = LinkSilence(SilenceBounds(3.2))
    >>> silence.note_written()
    >>> [silence.look(0.2, False).name for _ in range(3)]
    ['NOTHING', 'ASK', 'NOTHING']
    >>> silence.note_received()
    >>> silence.look(0.2, False).name, silence.is_watched(False)
    ('NOTHING', False)
    """

    __slots__ = (
        "_bounds",
        "_failures",
        "_has_asked",
        "_is_trying",
        "_is_unheard",
        "_random",
        "_seen",
        "_try_at_s",
        "quiet_s",
        "received",
    )

    def __init__(self, bounds: SilenceBounds) -> None:
        self._bounds = bounds
        self._random = random.Random()
        self._is_unheard = False
        self._seen = 0
        self._is_trying = False
        self.received = 0
        """Times that bytes were received."""
        self.quiet_s = 0.0
        """Watched time without a byte, in seconds."""
        self._has_asked = False
        self._try_at_s = 0.0
        self._failures = 0

    def note_written(self) -> None:
        """A frame is about to be written."""
        self._is_unheard = True

    def note_received(self) -> None:
        """Bytes arrived."""
        self._is_unheard = False
        self.received += 1

    def is_watched(self, is_waiting: bool) -> bool:
        """Whether looks are needed: the peer owes something. `is_waiting`: requests wait."""
        return self._is_unheard or is_waiting

    def look(self, gap_s: float, is_waiting: bool) -> Step:
        """Count the time since the last look and return what is to be done."""
        if self._seen != self.received or not self.is_watched(is_waiting):
            self._seen = self.received
            self._begin_anew()
            return Step.NOTHING
        self.quiet_s += min(gap_s, MAXIMUM_LOOK_PERIODS * self._bounds.look_period_s)
        if not self._has_asked:
            return self._look_unasked()
        if self._is_trying or self.quiet_s < self._try_at_s:
            return Step.NOTHING
        self._is_trying = True
        return Step.TRY_ANOTHER

    def attempt_ended(self) -> None:
        """The second connection has taken the first one's place, or is not needed."""
        self._is_trying = False
        self.note_received()

    def attempt_failed(self) -> float:
        """Return the pause in seconds before the next attempt."""
        bounds = self._bounds
        pause_s = min(bounds.first_pause_s * 2.0**self._failures, bounds.longest_pause_s)
        pause_s *= self._random.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
        self._failures += 1
        self._try_at_s = self.quiet_s + pause_s
        self._is_trying = False
        return pause_s

    def _look_unasked(self) -> Step:
        bounds = self._bounds
        after_s = bounds.ask_after_s if self._is_unheard else bounds.waiting_ask_after_s
        if self.quiet_s < after_s:
            return Step.NOTHING
        self._has_asked = True
        jitter = self._random.uniform(1, 1 + DOUBT_JITTER)
        self._try_at_s = self.quiet_s + bounds.doubt_after_s * jitter
        return Step.ASK

    def _begin_anew(self) -> None:
        self.quiet_s = 0.0
        self._has_asked = False
        self._try_at_s = 0.0
        self._failures = 0
