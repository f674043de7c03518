"""Copies the views of a peer when a process starts while the store is unavailable."""

from typing import Any

from bellweir.hosted.entries import UnreadableEntries
from bellweir.hosted.interface import RecordKind, StoredRecord
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.workers import WorkersView
from bellweir.wire.interface import Message, Sender, Transport


class ViewsRequest(Message, frozen=True):
    """Requests a peer's views."""


class ViewsAnswer(Message, frozen=True):
    """A peer's views in the format of the store."""

    configuration: Any
    """None if the peer has no configuration."""
    workers: dict[str, Any]


def register_views(
    transport: Transport, configuration: ConfigurationView, workers: WorkersView
) -> None:
    """Register the handler for view requests of peers."""

    def on_request(_sender: Sender, _message: ViewsRequest) -> ViewsAnswer:
        return ViewsAnswer(configuration.spec(), workers.specs())

    transport.register(ViewsRequest, on_request)


def copy_views(
    transport: Transport,
    address: str,
    configuration: ConfigurationView,
    workers: WorkersView,
    timeout_s: float,
    entries: UnreadableEntries | None = None,
) -> bool:
    """Copy a peer's views; returns False if it has none or does not answer.

    `entries` filters out unusable entries.
    """
    checks = entries if entries is not None else UnreadableEntries()
    answer = transport.request(address, ViewsRequest(), timeout_s).value_or(None)
    if not isinstance(answer, ViewsAnswer) or answer.configuration is None:
        return False
    usable = {
        name: spec
        for name, spec in answer.workers.items()
        if checks.is_usable(StoredRecord(RecordKind.WORKERS, name, 0, spec))
    }
    workers.apply_peer_copy(usable)
    configuration.apply(answer.configuration, f"peer {address}")
    return True
