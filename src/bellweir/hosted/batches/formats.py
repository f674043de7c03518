"""JSON documents of the batch job API."""

import base64
import binascii
import http.client
import time

import msgspec

from bellweir.hosted.batches.state import ItemResult, Job, JobItem, Scorer
from bellweir.http_server.http import BadRequestError

MAX_ITEM_BYTES = 900_000
"""Size of an item that one command of the ledger, of at most 1 MiB, holds with its job."""
COMPLETED = "completed"
DEAD = "dead"


class ScorerDocument(msgspec.Struct, rename="camel"):
    """A scoring request of a submitted item."""

    id: str
    host: str
    path: str
    body: str = ""


class ItemDocument(msgspec.Struct, rename="camel"):
    """An item of a submitted job."""

    id: str
    path: str
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    body: str = ""
    tokens: float = 0
    group: str = ""
    scorer: ScorerDocument | None = None


class JobDocument(msgspec.Struct, rename="camel"):
    """A submitted batch job."""

    items: list[ItemDocument]
    model: str = ""
    step: int | None = None
    wanted_groups: int = 0
    min_version: int = 0


class ResultDocument(msgspec.Struct, rename="camel", omit_defaults=True):
    """A result in a page."""

    id: str
    state: str
    text: str
    versions: list[int] = msgspec.field(default_factory=list)
    score: str | None = None


class PageDocument(msgspec.Struct, rename="camel"):
    """A page of results."""

    total: int
    next: int
    results: list[ResultDocument]


def decode_job(content: bytes, job_id: str, host: str, path_prefix: str) -> Job:
    """Decode a submitted job. Raises `BadRequestError`."""
    try:
        document = msgspec.json.decode(content, type=JobDocument)
        items = tuple(_item(item) for item in document.items)
    except (msgspec.MsgspecError, UnicodeDecodeError, binascii.Error) as exc:
        raise BadRequestError(f"no batch job: {exc}") from exc
    if len({item.id for item in items}) != len(items):
        raise BadRequestError("two items have one id")
    for item in items:
        _check_item(item)
    return Job(
        id=job_id,
        host=host,
        path_prefix=path_prefix,
        items=items,
        accepted_at_s=time.time(),
        model=document.model,
        step=document.step,
        wanted_groups=document.wanted_groups,
        minimum_version=document.min_version,
    )


def _item(document: ItemDocument) -> JobItem:
    scorer = document.scorer
    return JobItem(
        id=document.id,
        path=document.path,
        headers=tuple(document.headers.items()),
        body=base64.b64decode(document.body, validate=True),
        tokens=int(document.tokens),
        group=document.group,
        scorer=None
        if scorer is None
        else Scorer(
            scorer.id, scorer.host, scorer.path, base64.b64decode(scorer.body, validate=True)
        ),
    )


def _check_item(item: JobItem) -> None:
    """Check that an item can be kept and sent to a worker. Raises `BadRequestError`.

    Else each of its attempts would fail before it is sent, until its job ends.
    """
    if item.size > MAX_ITEM_BYTES:
        raise BadRequestError(f"item {item.id!r} has {item.size} bytes, at most {MAX_ITEM_BYTES}")
    requests = [(item.id, item.path, item.headers)]
    if item.scorer is not None:
        scorer = item.scorer
        requests.append((scorer.id, scorer.path, (("Host", scorer.host),)))
    for request_id, path, headers in requests:
        probe = http.client.HTTPConnection("probe")
        try:
            probe.putrequest("POST", path)
            for name, value in (("Id", request_id), *headers):
                probe.putheader(name, value)
        except (ValueError, http.client.HTTPException) as exc:
            raise BadRequestError(f"item {item.id!r} can't be sent: {exc}") from exc


def encode_page(total: int, after: int, results: tuple[ItemResult, ...]) -> bytes:
    """Encode a page of results from position `after` on."""
    documents = [
        ResultDocument(
            id=result.item_id,
            state=COMPLETED if result.is_complete else DEAD,
            text=result.full_text,
            versions=list(result.versions),
            score=result.score or None,
        )
        for result in results
    ]
    return msgspec.json.encode(PageDocument(total, after + len(documents), documents))
