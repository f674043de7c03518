"""Builds of the service whose processes stand side by side in a deployment.

An older build is taken from the repository's own history. A clone may lack that history; then there
is none, and whoever wants it must say so.
"""

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import bellweir

REPOSITORY = Path(bellweir.__file__).resolve().parent.parent.parent
PARTS = ("src", "platform", "deploy")
"""What a process needs of a build: its code, the platform's adapter and the settings' template."""
LOOK_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class Build:
    """One build of the service, in a folder of its own."""

    folder: Path

    @property
    def code(self) -> Path:
        """Folder that goes first where modules are looked for."""
        return self.folder / "src"

    @property
    def template(self) -> Path:
        """Template of the settings file as this build knows it."""
        return self.folder / "deploy" / "settings.template"

    def code_in_use(self, environment: dict[str, str]) -> Path:
        """Return the folder from which a process of this environment takes the service."""
        command = [sys.executable, "-c", "import bellweir; print(bellweir.__file__)"]
        told = subprocess.run(
            command, env=environment, capture_output=True, check=True, timeout=LOOK_TIMEOUT_S
        )
        return Path(told.stdout.decode().strip()).parent.parent


OWN_BUILD = Build(REPOSITORY)


def is_in_history(commit: str) -> bool:
    """Whether the repository here has a commit."""
    return _git("cat-file", "-e", f"{commit}^{{commit}}").returncode == 0


def build_of(commit: str, folder: Path) -> Build:
    """Lay a commit's code into an empty folder. Raises `CalledProcessError` without the commit."""
    archived = _git("archive", "--format=tar", commit, *PARTS)
    archived.check_returncode()
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archived.stdout, check=True)
    return Build(folder)


def _git(*arguments: str) -> "subprocess.CompletedProcess[bytes]":
    return subprocess.run(
        ["git", "-C", str(REPOSITORY), *arguments], capture_output=True, check=False
    )
