"""`bellweir wait`: wait until a condition of a resource holds."""

import time
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from returns.result import Failure, Success

from bellweir.cli import exit_codes
from bellweir.cli.resources.client import CallError, CallFailure
from bellweir.cli.resources.options import (
    Address,
    Timeout,
    TokenFile,
    client_for,
    fail,
    print_report,
    resource_or_exit,
)
from bellweir.kernel.clock import elapsed_s

POLL_S = 0.25
CONDITION_PREFIX = "condition="
DELETED = "deleted"


@cappa.command(
    name="wait",
    help="Wait until a condition of a resource holds.",
    description="Example: bellweir wait policy/writer --for condition=InForce --timeout 30",
)
@dataclass
class WaitCommand:
    """Wait for a condition of the resource's newest generation, or for its deletion."""

    kind: Annotated[str, cappa.Arg(help="Kind, or KIND/NAME.")]
    name: Annotated[str | None, cappa.Arg(help="Name of the resource.")] = None
    wanted: Annotated[
        str, cappa.Arg(long="--for", help="condition=TYPE, condition=TYPE=false, or deleted.")
    ] = "condition=InForce"
    timeout: Timeout = 30.0
    address: Address = None
    token_file: TokenFile = None

    def __call__(self) -> None:
        """Poll until it holds or the time is over."""
        kind, name = resource_or_exit(self.kind, self.name)
        client = client_for(self.address, self.token_file)
        deadline_s = elapsed_s() + self.timeout
        while True:
            match client.get(kind, name):
                case Success(found):
                    holds, why = self._holds(found)
                case Failure(error):
                    holds, why = self._holds_after(error), error.detail
            if holds:
                print(f"{kind}/{name}: {self.wanted}")
                return
            if elapsed_s() >= deadline_s:
                print_report(f"{kind}/{name}: not {self.wanted} in {self.timeout:g} s: {why}")
                raise cappa.Exit(code=exit_codes.FAILED)
            time.sleep(POLL_S)

    def _holds(self, found: dict[str, Any]) -> tuple[bool, str]:
        if self.wanted == DELETED:
            return False, "it still exists"
        if not self.wanted.startswith(CONDITION_PREFIX):
            raise cappa.Exit("--for takes condition=TYPE or deleted", code=exit_codes.USAGE)
        kind, _, value = self.wanted.removeprefix(CONDITION_PREFIX).partition("=")
        status = found.get("status", {})
        for condition in status.get("conditions", ()):
            if condition["type"] == kind:
                current = condition_is_current(found, condition)
                holds = condition["status"] is (value.lower() != "false") and current
                return holds, str(condition.get("message", ""))
        return False, f"there is no condition {kind} yet"

    def _holds_after(self, error: CallError) -> bool:
        if error.failure is CallFailure.NOT_FOUND:
            return self.wanted == DELETED
        if error.failure is CallFailure.INVALID:
            fail(error)
        return False


def condition_is_current(found: dict[str, Any], condition: dict[str, Any]) -> bool:
    """Whether a condition is about the newest generation, as far as it says."""
    generation = found["metadata"].get("generation", 0)
    return bool(condition.get("observedGeneration", generation) == generation)
