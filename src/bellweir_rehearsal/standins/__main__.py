"""Runs one stand-in: `python -m bellweir_rehearsal.standins KIND [OPTIONS_JSON] [READY_FILE]`."""

import sys
from pathlib import Path

from bellweir_rehearsal.standins.catalogue import StandinKind, make_standin
from bellweir_rehearsal.standins.process import run_until_signal


def main(arguments: list[str]) -> None:
    """Run the stand-in named in `arguments` until a signal comes."""
    kind = StandinKind(arguments[0])
    options_json = arguments[1] if len(arguments) > 1 else "{}"
    ready_file = Path(arguments[2]) if len(arguments) > 2 else None
    run_until_signal(make_standin(kind, options_json.encode()), ready_file)


if __name__ == "__main__":
    main(sys.argv[1:])
