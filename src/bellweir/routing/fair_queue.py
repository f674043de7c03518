"""A bounded queue that serves callers in turn and takes its room from the longest caller."""

from collections import OrderedDict, deque
from typing import Generic, TypeVar

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Items by caller, served round-robin. Not thread-safe: its owner's lock guards it."""

    def __init__(self) -> None:
        self._by_caller: OrderedDict[str, deque[Item]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, caller: str, item: Item) -> None:
        """Add an item behind the caller's own."""
        self._by_caller.setdefault(caller, deque()).append(item)
        self._length += 1

    def pop(self) -> Item | None:
        """Take the first item of the caller whose turn it is; None when empty."""
        if not self._by_caller:
            return None
        caller, items = self._by_caller.popitem(last=False)
        item = items.popleft()
        self._length -= 1
        if items:
            self._by_caller[caller] = items
        return item

    def remove(self, caller: str, item: Item) -> bool:
        """Take an item out; False when it is not queued."""
        items = self._by_caller.get(caller)
        if items is None or item not in items:
            return False
        items.remove(item)
        self._length -= 1
        if not items:
            del self._by_caller[caller]
        return True

    def displace_for(self, caller: str) -> Item | None:
        """Make room for `caller` by taking out the newest item of the longest caller.

        None when no other caller holds at least two items more than `caller` does, so that a
        flood displaces nothing but itself.
        """
        own = len(self._by_caller.get(caller, ()))
        longest = max(self._by_caller, key=lambda name: len(self._by_caller[name]), default=None)
        if longest is None or len(self._by_caller[longest]) < own + 2:
            return None
        item = self._by_caller[longest].pop()
        self._length -= 1
        return item
