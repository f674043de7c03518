"""Checks a step's declaration; all faults are reported together."""

import re
from collections.abc import Iterator

from bellweir.samples.interface import StepDeclaration

MAXIMUM_SLOTS = 65_536
MAXIMUM_TOKENS = 1_048_576
STEP_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")


def find_faults(declaration: StepDeclaration) -> tuple[str, ...]:
    """Every fault, each with its place; empty when the declaration is good."""
    return tuple(_faults(declaration))


def _faults(declaration: StepDeclaration) -> Iterator[str]:
    if not STEP_ID_PATTERN.fullmatch(declaration.step_id):
        yield f"step_id: must match {STEP_ID_PATTERN.pattern}"
    if not declaration.policy:
        yield "policy: must not be empty"
    if not declaration.prompts:
        yield "prompts: at least one is needed"
    if declaration.samples_per_prompt < 1:
        yield "samples_per_prompt: must be at least 1"
    if len(declaration.prompts) * declaration.samples_per_prompt > MAXIMUM_SLOTS:
        yield f"prompts: more than {MAXIMUM_SLOTS} samples in all"
    if not 1 <= declaration.max_tokens <= MAXIMUM_TOKENS:
        yield f"max_tokens: must be from 1 to {MAXIMUM_TOKENS}"
    yield from _bound_faults(declaration)


def _bound_faults(declaration: StepDeclaration) -> Iterator[str]:
    if declaration.minimum_version is not None and declaration.minimum_version < 0:
        yield "minimum_version: must not be negative"
    versions = declaration.staleness_bound_versions
    if versions is not None and versions < 0:
        yield "staleness_bound_versions: must not be negative"
    seconds = declaration.staleness_bound_s
    if seconds is not None and not seconds > 0:
        yield "staleness_bound_s: must be above 0"
    if declaration.deadline_s is not None and not declaration.deadline_s > 0:
        yield "deadline_s: must be above 0"
