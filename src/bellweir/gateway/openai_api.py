"""OpenAI's interface: completions, chat completions and models."""

import dataclasses
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from bellweir.configuration.interface import Configuration
from bellweir.gateway.admission import ThreadShare
from bellweir.gateway.completion_format import ChatFormat, CompletionFormat, PlainFormat
from bellweir.gateway.completion_request import ParsedCall, parse_chat, parse_completion
from bellweir.gateway.completion_run import CompletionRun
from bellweir.gateway.context import Context
from bellweir.gateway.problems import Problem, openai_error_response, problem_of_refusal
from bellweir.gateway.refusals import refuse
from bellweir.gateway.request_headers import (
    RoutingOptions,
    parse_routing_options,
)
from bellweir.gateway.router import Router
from bellweir.http_server.http import Request, Response, json_response
from bellweir.resources.models import Policy, RequestClass
from bellweir.routing.interface import (
    Dispatcher,
    Generation,
    GenerationRequest,
    Refusal,
    RunState,
)

INTERFACE = "openai"


class Model(msgspec.Struct, frozen=True):
    """A policy as OpenAI's clients list it."""

    id: str
    created: int
    object: str = "model"
    owned_by: str = "bellweir"


class ModelList(msgspec.Struct, frozen=True):
    """Body of `GET /v1/models`."""

    data: tuple[Model, ...]
    object: str = "list"


class OpenAiApi:
    """Serves completions from the dispatcher and models from the configuration in force."""

    def __init__(
        self, context: Context, dispatcher: Dispatcher, configuration: Configuration
    ) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._configuration = configuration

    def add_routes(self, router: Router) -> None:
        """Add the paths of this interface."""
        router.add(INTERFACE, "POST", "/v1/chat/completions", self.chat)
        router.add(INTERFACE, "POST", "/v1/completions", self.complete)
        router.add(INTERFACE, "GET", "/v1/models", self.models)
        router.add(INTERFACE, "GET", "/v1/models/{name}", self.model)

    def complete(self, request: Request) -> Response:
        """`POST /v1/completions`."""
        return self._run(request, parse_completion, PlainFormat)

    def chat(self, request: Request) -> Response:
        """`POST /v1/chat/completions`."""
        return self._run(request, parse_chat, ChatFormat)

    def models(self, request: Request) -> Response:
        """`GET /v1/models`."""
        policies = self._configuration.current().policies.values()
        return json_response(200, ModelList(tuple(_model_of(policy) for policy in policies)))

    def model(self, request: Request, name: str) -> Response:
        """`GET /v1/models/{name}`."""
        policy = self._configuration.current().policies.get(name)
        if policy is None:
            problem = Problem(404, "no_such_policy", f"no policy named {name[:64]!r}")
            return openai_error_response(problem, request.request_id)
        return json_response(200, _model_of(policy))

    def _run(
        self,
        request: Request,
        parse: Callable[[bytes], ParsedCall],
        format_class: type[CompletionFormat],
    ) -> Response:
        options = parse_routing_options(request, self._context.clock, RequestClass.INTERACTIVE)
        call = parse(request.read_body())
        if call.stream and not self._context.move_to(request, ThreadShare.STREAM):
            return refuse(request, self._context.share_full(ThreadShare.STREAM))
        body_format = format_class(request.request_id, call.model, int(time.time()))
        match self._start(request, call, options):
            case Success(generations):
                run = CompletionRun(self._context, request, call, body_format, generations)
                return run.stream() if call.stream else run.whole()
            case Failure(refusal):
                return openai_error_response(problem_of_refusal(refusal), request.request_id)
        raise AssertionError("a result is a success or a failure")

    def _start(
        self, request: Request, call: ParsedCall, options: RoutingOptions
    ) -> Result[tuple[Generation, ...], Refusal]:
        started: list[Generation] = []
        for index, prompt in enumerate(call.prompts):
            generation_request = _generation_request(request, call, options, prompt, index)
            match self._dispatcher.generate(generation_request):
                case Success(generation):
                    started.append(generation)
                case Failure(refusal):
                    for other in started:
                        other.cancel()
                    return Failure(_of_the_whole_call(refusal, others_started=bool(started)))
        return Success(tuple(started))


def _generation_request(
    request: Request, call: ParsedCall, options: RoutingOptions, prompt: str, index: int
) -> GenerationRequest:
    one_of_many = len(call.prompts) > 1
    return GenerationRequest(
        request_id=f"{request.request_id}-{index}" if one_of_many else request.request_id,
        policy=call.model,
        prompt=prompt,
        max_tokens=call.max_tokens,
        request_class=options.request_class,
        deadline_monotonic_s=options.deadline_monotonic_s,
        caller=request.caller.name,
        unit=options.unit,
        stop=call.stop,
        temperature=call.temperature,
        seed=None if call.seed is None else call.seed + index,
    )


def _of_the_whole_call(refusal: Refusal, *, others_started: bool) -> Refusal:
    # The refusal speaks of one choice; others of the same call may have begun on an engine.
    if others_started and refusal.run_state is RunState.NOT_RUN:
        return dataclasses.replace(refusal, run_state=RunState.UNKNOWN)
    return refusal


def _model_of(policy: Policy) -> Model:
    return Model(id=policy.metadata.name, created=0)
