"""JSON of batch jobs as trainers send and read them."""

import base64
import binascii
import time

import msgspec

from bellweir.hosted.batches.state import ItemResult, Job, JobItem, Scorer
from bellweir.http_server.http import BadRequestError

COMPLETED = "completed"
DEAD = "dead"


class ScorerDocument(msgspec.Struct, rename="camel"):
    """A scoring request as sent."""

    id: str
    host: str
    path: str
    body: str = ""


class ItemDocument(msgspec.Struct, rename="camel"):
    """An item as sent."""

    id: str
    path: str
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    body: str = ""
    tokens: float = 0
    group: str = ""
    scorer: ScorerDocument | None = None


class JobDocument(msgspec.Struct, rename="camel"):
    """A batch job as sent."""

    items: list[ItemDocument]
    model: str = ""
    step: int | None = None
    wanted_groups: int = 0
    min_version: int = 0


class ResultDocument(msgspec.Struct, rename="camel", omit_defaults=True):
    """A result as listed."""

    id: str
    state: str
    text: str
    versions: list[int] = msgspec.field(default_factory=list)
    score: str | None = None


class PageDocument(msgspec.Struct, rename="camel"):
    """Answer to a reading of results."""

    total: int
    next: int
    results: list[ResultDocument]


def decode_job(content: bytes, job_id: str, host: str, path_prefix: str) -> Job:
    """Read a job. Raises `BadRequestError`."""
    try:
        sent = msgspec.json.decode(content, type=JobDocument)
        items = tuple(_item(item) for item in sent.items)
    except (msgspec.MsgspecError, UnicodeDecodeError, binascii.Error) as failure:
        raise BadRequestError(f"no batch job: {failure}") from failure
    if len({item.id for item in items}) != len(items):
        raise BadRequestError("two items have one id")
    return Job(
        id=job_id,
        host=host,
        path_prefix=path_prefix,
        items=items,
        accepted_at_s=time.time(),
        model=sent.model,
        step=sent.step,
        wanted_groups=sent.wanted_groups,
        minimum_version=sent.min_version,
    )


def _item(sent: ItemDocument) -> JobItem:
    scorer = sent.scorer
    return JobItem(
        id=sent.id,
        path=sent.path,
        headers=tuple(sent.headers.items()),
        body=base64.b64decode(sent.body, validate=True),
        tokens=int(sent.tokens),
        group=sent.group,
        scorer=None
        if scorer is None
        else Scorer(
            scorer.id, scorer.host, scorer.path, base64.b64decode(scorer.body, validate=True)
        ),
    )


def encode_page(total: int, after: int, results: tuple[ItemResult, ...]) -> bytes:
    """The answer to a reading from position `after`."""
    listed = [
        ResultDocument(
            id=result.item_id,
            state=COMPLETED if result.is_complete else DEAD,
            text=result.full_text,
            versions=list(result.versions),
            score=result.score or None,
        )
        for result in results
    ]
    return msgspec.json.encode(PageDocument(total, after + len(listed), listed))
