"""Hypothesis profiles: `make test` uses ``fixed``, `make fuzz` uses ``long``."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings

MAX_EXAMPLES = 300
STEP_COUNT = 50
LONG_MAX_EXAMPLES = 1_500

# The limits must allow each fuzz test at least 2,000 steps.
assert MAX_EXAMPLES * STEP_COUNT >= 2_000

for name, examples, derandomize in (
    ("long", LONG_MAX_EXAMPLES, False),
    ("fixed", MAX_EXAMPLES, True),
):
    settings.register_profile(
        name,
        max_examples=examples,
        stateful_step_count=STEP_COUNT,
        derandomize=derandomize,
        deadline=None,
        database=None,
        # Shrinking a failing example takes minutes: only the long profile does it.
        phases=list(Phase) if name == "long" else [Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
settings.load_profile("fixed")


def pytest_report_header(config):
    """Show the Hypothesis seed, or ``fixed`` if none is given."""
    return f"fuzz seed: {config.getoption('--hypothesis-seed') or 'fixed'}"
