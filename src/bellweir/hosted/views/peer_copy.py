"""The views of a peer, for a process that starts while the store can't be read."""

from typing import Any

from bellweir.hosted.entries import EntryValidator
from bellweir.hosted.interface import RecordKind, StoredRecord
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.workers import WorkersView
from bellweir.wire.interface import Message, Sender, Transport


class ViewsRequest(Message, frozen=True):
    """Asks for a peer's views."""


class ViewsAnswer(Message, frozen=True):
    """A peer's views, as they stand in the store."""

    configuration: Any
    """None while the peer knows none."""
    workers: dict[str, Any]


def register_views(
    transport: Transport, configuration: ConfigurationView, workers: WorkersView
) -> None:
    """Answer the requests of peers."""

    def on_request(_sender: Sender, _message: ViewsRequest) -> ViewsAnswer:
        return ViewsAnswer(configuration.spec(), workers.specs())

    transport.register(ViewsRequest, on_request)


def copy_views(
    transport: Transport,
    address: str,
    configuration: ConfigurationView,
    workers: WorkersView,
    timeout_s: float,
    entries: EntryValidator | None = None,
) -> bool:
    """Take over what a peer knows; False when it knows nothing or does not answer.

    `entries` sorts out what nobody can use.
    """
    checks = entries if entries is not None else EntryValidator()
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
