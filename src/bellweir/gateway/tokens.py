"""Bearer tokens: a file of tokens with roles, read again when it changes."""

import hashlib
import hmac
import os
import threading
import tomllib
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from bellweir.events.log import emit
from bellweir.gateway.log_events import TOKENS_INVALID, TOKENS_LOADED
from bellweir.kernel.clock import Clock

CHECK_PERIOD_S = 1.0
"""Time between two looks at whether the file changed."""


class Role(Enum):
    """What a token permits."""

    CALLER = "caller"
    """Completions and applications."""
    TRAINER = "trainer"
    """Training steps."""
    OPERATOR_READ = "operator_read"
    """Reading resources, status and metrics."""
    OPERATOR = "operator"
    """Reading and writing resources."""


class TokenEntry(BaseModel):
    """One token of the file."""

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)

    name: str = Field(min_length=1)
    """Shown in logs and used for fairness between callers."""
    roles: frozenset[Role] = Field(min_length=1)
    sha256: str = Field(pattern="^[0-9a-f]{64}$")
    """SHA-256 of the token in lower-case hexadecimal, so that the file holds no secret."""


class TokensFile(BaseModel):
    """The whole file."""

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)

    anonymous: frozenset[Role] = frozenset()
    """Roles that need no token."""
    tokens: tuple[TokenEntry, ...] = ()


@dataclass(frozen=True)
class Bearer:
    """The holder of a token."""

    name: str
    roles: frozenset[Role]


class TokensUnreadableError(RuntimeError):
    """The file of tokens cannot be read at the start."""


class Tokens:
    """Checks bearer tokens against the file in force."""

    def __init__(self, path: Path, clock: Clock) -> None:
        self._path = path
        self._clock = clock
        self._lock = threading.Lock()
        self._checked_s = clock.monotonic_s()
        self._signature = self._read_signature()
        self._file = self._read()

    @property
    def anonymous(self) -> frozenset[Role]:
        """Roles that need no token."""
        return self._current().anonymous

    def bearer_of(self, token: str) -> Bearer | None:
        """The holder of a token, None when no entry matches.

        Compares with every entry in constant time, so that timing tells nothing of the entries.
        """
        digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
        found: TokenEntry | None = None
        for entry in self._current().tokens:
            if hmac.compare_digest(entry.sha256, digest):
                found = entry
        return None if found is None else Bearer(found.name, found.roles)

    def _current(self) -> TokensFile:
        now_s = self._clock.monotonic_s()
        if now_s - self._checked_s >= CHECK_PERIOD_S:
            with self._lock:
                self._checked_s = now_s
                self._reload_if_changed()
        return self._file

    def _reload_if_changed(self) -> None:
        try:
            signature = self._read_signature()
            if signature == self._signature:
                return
            self._file = self._read()
            self._signature = signature
        except TokensUnreadableError as failure:
            emit(TOKENS_INVALID, error=str(failure))

    def _read_signature(self) -> tuple[int, int, int]:
        try:
            state = os.stat(self._path)
        except OSError as failure:
            raise TokensUnreadableError(f"tokens file: {failure.strerror}") from None
        return state.st_ino, state.st_mtime_ns, state.st_size

    def _read(self) -> TokensFile:
        try:
            content = TokensFile.model_validate(tomllib.loads(self._path.read_text("utf-8")))
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, ValidationError) as failure:
            raise TokensUnreadableError(f"tokens file: {failure}") from None
        emit(TOKENS_LOADED, count=len(content.tokens))
        return content
