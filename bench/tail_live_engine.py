"""An engine stand-in whose answers have heavy-tailed lengths; a process of `samples_tail_live`."""

import argparse
from pathlib import Path

from bellweir_rehearsal.standins.engine import EngineStandin
from bellweir_rehearsal.standins.engine_options import EngineOptions
from bellweir_rehearsal.standins.process import run_until_signal


def main() -> None:
    """Run the engine until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--ready-file", type=Path, required=True)
    parser.add_argument("--log-file", type=Path, required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--initial-version", type=int, default=1)
    parser.add_argument("--time-scale", type=float, default=1.0)
    parser.add_argument("--maximum-batch", type=int, default=16)
    parser.add_argument("--median-tokens", type=int, required=True)
    parser.add_argument("--frame-tokens", type=int, default=64)
    chosen = parser.parse_args()
    options = EngineOptions(
        name=chosen.name,
        port=chosen.port,
        log_path=chosen.log_file,
        model=chosen.model,
        initial_version=chosen.initial_version,
        time_scale=chosen.time_scale,
        maximum_batch=chosen.maximum_batch,
        median_tokens=chosen.median_tokens,
        frame_tokens=chosen.frame_tokens,
    )
    run_until_signal(EngineStandin(options), chosen.ready_file)


if __name__ == "__main__":
    main()
