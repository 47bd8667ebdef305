"""What operators see of the duties of one host."""

from __future__ import annotations

import json
import traceback

from ..logs.lines import LogLines
from ..utils.duties import Duties, Duty
from .endpoints import JSON_HEADERS, Answer

DUTIES_PATH = "/duties"
MAX_TRACEBACK_CHARACTERS = 2_000


def log_failure(log: LogLines, duty: Duty, error: BaseException) -> None:
    """Log a failure of a duty with the end of its traceback."""
    lines = "".join(traceback.format_exception(error))
    log.write(
        "duty.failed",
        duty=duty.name,
        of=duty.detail,
        failures=duty.failures,
        failing_s=round(duty.failing_s, 3),
        traceback=lines[-MAX_TRACEBACK_CHARACTERS:],
    )


def list_duties(duties: Duties) -> Answer:
    """Answer with the duties that aren't kept."""
    document = {
        "is_serving": not duties.has_lost_essential,
        "failing": [
            {
                "duty": duty.name,
                "of": duty.detail,
                "failing_s": round(duty.failing_s, 3),
                "failures": duty.failures,
                "error": duty.last_error,
            }
            for duty in duties.failing()
        ],
    }
    return 200, JSON_HEADERS, json.dumps(document).encode()
