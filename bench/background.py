"""Load beside what is measured, in a process of its own so that it costs the measurement nothing.

`python -m bench.background ADDRESS KIND CALLERS SECONDS TOKENS`: KIND is `streams` (each caller
reads one streamed completion to its end) or `drafts` (each caller asks for whole completions of
class draft, one after the other, until the time is over; a refusal is repeated when it says).
Prints one line of JSON.
"""

import http.client
import json
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass

TIMEOUT_S = 120.0
STAGGER_S = 0.002
"""Between the starts of two callers."""


@dataclass(frozen=True)
class StreamResult:
    """One streamed completion."""

    whole: bool
    first_chunk_s: float


def completion(tokens: int, *, stream: bool) -> bytes:
    """Body of a completion request."""
    return json.dumps(
        {"model": "policy", "prompt": "a page", "max_tokens": tokens, "stream": stream}
    ).encode()


def main(address: str, kind: str, callers: str, seconds: str, tokens: str) -> None:
    """Run the load and print its result."""
    with ThreadPoolExecutor(int(callers)) as pool:
        if kind == "streams":
            streams = []
            for _ in range(int(callers)):
                streams.append(pool.submit(one_stream, address, int(tokens)))
                time.sleep(STAGGER_S)
            print(json.dumps([asdict(stream.result()) for stream in streams]))
            return
        deadline = time.monotonic() + float(seconds)
        runs = [pool.submit(drafts, address, int(tokens), deadline) for _ in range(int(callers))]
        statuses: Counter[int] = Counter()
        for run in runs:
            statuses.update(run.result())
        print(json.dumps(statuses))


def one_stream(address: str, tokens: int) -> StreamResult:
    """Read one streamed completion to its end."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    sent = time.perf_counter()
    connection.request("POST", "/v1/completions", completion(tokens, stream=True))
    first_s = 0.0
    last = b""
    for line in connection.getresponse():
        if line.startswith(b"data: "):
            first_s = first_s or time.perf_counter() - sent
            last = line
    connection.close()
    return StreamResult(last == b"data: [DONE]\n", first_s)


def drafts(address: str, tokens: int, deadline: float) -> Counter[int]:
    """Ask for drafts until the deadline; answers by status."""
    statuses: Counter[int] = Counter()
    headers = {"X-Bellweir-Class": "draft"}
    while time.monotonic() < deadline:
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
        body = completion(tokens, stream=False)
        connection.request("POST", "/v1/completions", body, headers)
        answer = connection.getresponse()
        answer.read()
        statuses[answer.status] += 1
        if answer.status != 200:
            time.sleep(float(answer.headers.get("Retry-After", "1")))
        connection.close()
    return statuses


if __name__ == "__main__":
    main(*sys.argv[1:])
