"""How the gateway answers requests that never reach its application."""

from waitress.task import ErrorTask

from bellweir.gateway.problems import (
    NAMES_OF_STATUS,
    Problem,
    before_the_ledger,
    openai_error_response,
    problem_response,
)
from bellweir.gateway.request_headers import REQUEST_ID
from bellweir.http_server.http import new_request_id
from bellweir.routing.interface import RunState

INTERNAL_ERROR_STATUS = 500


class GatewayErrorTask(ErrorTask):  # type: ignore[misc]
    """Answers a request that waitress could not parse, or whose application raised."""

    def execute(self) -> None:
        """Write the answer and close the connection after it."""
        error = self.request.error
        raised = error.code == INTERNAL_ERROR_STATUS
        problem = Problem(
            error.code,
            NAMES_OF_STATUS.get(error.code, "refused"),
            str(error.body),
            RunState.UNKNOWN if raised else RunState.NOT_RUN,
        )
        problem = before_the_ledger(problem, has_key=self.request.may_have_key())
        in_openai_shape = self.request.path.startswith("/v1/")
        shape = openai_error_response if in_openai_shape else problem_response
        request_id = new_request_id()
        response = shape(problem, request_id)
        response.headers.append((REQUEST_ID, request_id))
        self.status = response.status_line
        self.response_headers.extend(response.headers)
        self.set_close_on_finish()
        self.content_length = len(response.body)
        self.write(response.body)
