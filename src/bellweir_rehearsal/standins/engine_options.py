"""Options of the engine stand-in and the model of its times.

The default times are worked out for a model of 8 thousand million parameters in two-byte floats
(32 layers, 8 key-value heads of 128) on one accelerator with 3.35 TB/s of memory bandwidth and
989 TFLOP/s dense, the data-sheet figures of an NVIDIA H100 SXM, both used at the efficiency
`EFFICIENCY`. They are a roofline estimate, not a measurement; a step of decoding is bound by
memory (weights and KV cache are read once), prefill by arithmetic.
"""

from dataclasses import dataclass, field

from bellweir.clients.interface import EngineRole
from bellweir_rehearsal.standins.base import StandinOptions

PARAMETERS = 8.0e9
BYTES_PER_PARAMETER = 2
MEMORY_BYTES_PER_S = 3.35e12
FLOPS_PER_S = 989e12
EFFICIENCY = 0.6
STEP_OVERHEAD_S = 0.001
"""Scheduling, sampling and kernel launches of one step."""
KV_BYTES_PER_TOKEN = 2 * 32 * 8 * 128 * BYTES_PER_PARAMETER
"""Keys and values of one token in all layers: 131,072 bytes."""
FLOPS_PER_TOKEN = 2 * PARAMETERS


@dataclass(frozen=True)
class TokenTimes:
    """Seconds of model time that a step of the batch takes.

    A step with `b` sequences, `p` prefilled prompt tokens and `c` tokens in the KV cache takes
    `step_s + (b + p) * token_s + c * context_token_s`.
    """

    step_s: float = (
        STEP_OVERHEAD_S + PARAMETERS * BYTES_PER_PARAMETER / MEMORY_BYTES_PER_S / EFFICIENCY
    )
    """9.0 ms: overhead, and the weights read once."""
    token_s: float = FLOPS_PER_TOKEN / FLOPS_PER_S / EFFICIENCY
    """27 microseconds: arithmetic of one token."""
    context_token_s: float = KV_BYTES_PER_TOKEN / MEMORY_BYTES_PER_S / EFFICIENCY
    """65 nanoseconds: keys and values of one earlier token read."""


@dataclass(frozen=True)
class EngineOptions(StandinOptions):
    """Options of one engine."""

    name: str = "engine"
    threads: int = 300
    model: str = "model"
    initial_version: int | None = 1
    """Version loaded at the start; None starts without weights."""
    times: TokenTimes = field(default_factory=TokenTimes)
    time_scale: float = 1.0
    """Seconds of model time in one second of wall time."""
    maximum_batch: int = 64
    """Sequences that run at once."""
    maximum_waiting: int = 512
    """Attempts that may wait; more are refused as overloaded."""
    prefill_chunk_tokens: int = 2048
    """Prompt tokens prefilled in one step at most."""
    frame_tokens: int = 8
    """Tokens of one stream frame at most, once the first token is out."""
    cache_capacity_tokens: int = 65_536
    """Prompt tokens that the prefix cache holds."""
    event_lag_s: float = 0.2
    """Wall time after which a cache event is published."""
    event_gap_probability: float = 0.0
    """Share of cache events that are never published."""
    kept_events: int = 4096
    report_lag_s: float = 0.25
    """Wall time that the load in reports is behind."""
    median_tokens: int | None = None
    """Median of a lognormal length at which answers stop; None runs to `max_tokens`."""
    load_s: float = 0.4
    """Model time in which nothing is generated while fetched weights are loaded."""
    relay_bytes_per_s: float = 12.5e9
    """Bandwidth out of this engine's copy of the weights, in model time (100 Gbit/s)."""
    role: EngineRole = EngineRole.MIXED
