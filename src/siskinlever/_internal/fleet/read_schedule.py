"""How often and how long a host calls the store to learn of changes in time.

The times depend on no other host. Hosts that counted on the reads of others learned of
a change late when all of them waited in step: each change of the configuration ends all
watches, and all hosts begin the next one at once.

The load that this answers is a connection to the store that falls silent while new
ones work. Only the end of the time allowed shows it, so that this time and one more
call must fit into the time in which a change takes effect.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..models.host_settings import ChangeBounds

# Shares of the time in which a configuration takes effect: for which a watch waits, and
# for which its answer may take longer. The rest is for a call on a new connection.
WATCH_SHARE = 0.45
ANSWER_SHARE = 0.2
# Share of the time in which a runner that leaves must be known, between two listings.
# One of them may stay unanswered.
RUNNERS_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class ReadSchedule:
    """Times of the calls that tell a host of changes.

    Parameters
    ----------
    watch_s : float
        Seconds for which a watch of the configuration waits for a change.
    answer_s : float
        Seconds after these within which its answer must arrive.
    runners_period_s : float
        Seconds between two listings of the runners.
    """

    watch_s: float
    answer_s: float
    runners_period_s: float


def schedule_within(bounds: ChangeBounds) -> ReadSchedule:
    """Return the schedule that keeps the bounds although one call stays unanswered."""
    return ReadSchedule(
        watch_s=WATCH_SHARE * bounds.configuration_s,
        answer_s=ANSWER_SHARE * bounds.configuration_s,
        runners_period_s=RUNNERS_SHARE * bounds.leaving_s,
    )
