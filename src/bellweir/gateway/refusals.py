"""Refusals that the gateway makes itself, before any other service was asked."""

from bellweir.gateway.problems import (
    Problem,
    before_the_ledger,
    openai_error_response,
    problem_response,
)
from bellweir.gateway.request_headers import IDEMPOTENCY_KEY
from bellweir.http_server.http import Request, Response


def refuse(request: Request, problem: Problem) -> Response:
    """Answer with a problem of the gateway's own, in OpenAI's shape below `/v1`."""
    has_key = request.header(IDEMPOTENCY_KEY) is not None
    problem = before_the_ledger(problem, has_key=has_key)
    if request.path.startswith("/v1/"):
        return openai_error_response(problem, request.request_id)
    return problem_response(problem, request.request_id)
