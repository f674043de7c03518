"""A queue that serves callers round-robin and can displace items of the longest caller."""

from collections import OrderedDict, deque
from typing import Generic, TypeVar

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Round-robin queue of items by caller. Not thread-safe: guarded by its owner's lock."""

    def __init__(self) -> None:
        self._by_caller: OrderedDict[str, deque[Item]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, caller: str, item: Item) -> None:
        """Append an item to the caller's queue."""
        self._by_caller.setdefault(caller, deque()).append(item)
        self._length += 1

    def pop(self) -> Item | None:
        """Remove and return the first item of the next caller; None if the queue is empty."""
        if not self._by_caller:
            return None
        caller, items = self._by_caller.popitem(last=False)
        item = items.popleft()
        self._length -= 1
        if items:
            self._by_caller[caller] = items
        return item

    def remove(self, caller: str, item: Item) -> bool:
        """Remove an item; return False if it is not queued."""
        items = self._by_caller.get(caller)
        if items is None or item not in items:
            return False
        items.remove(item)
        self._length -= 1
        if not items:
            del self._by_caller[caller]
        return True

    def displace_for(self, caller: str) -> Item | None:
        """Make room for `caller` by removing and returning the last item of the longest queue.

        Returns None unless that queue has at least two items more than that of `caller`, so that a
        flood from one caller displaces only its own items.
        """
        own = len(self._by_caller.get(caller, ()))
        longest = max(self._by_caller, key=lambda name: len(self._by_caller[name]), default=None)
        if longest is None or len(self._by_caller[longest]) < own + 2:
            return None
        item = self._by_caller[longest].pop()
        self._length -= 1
        return item
