"""A part that crashes engines, which comes again after all hosts were killed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import platform_2 as platform

CONTACT_S = 3.0
ENGINES = "copy-llm"
PATH = "/resort-translate/x"
FIRST_PART, BAD_PART = "5c1e07a2", "bad0bad0"
SOUND_PERIOD_S = 0.3
# Between two requests with the bad part.
BAD_PERIOD_S = 3.2
CRASHES = 5
MAX_LATE = 3
# Seconds for which all hosts are down.
DOWN_S = 2.0
AFTER_S = 26.0
HOSTS = 3


def build(fleet: platform.Fleet) -> None:
    for number in range(6):
        stage = "prefill" if number == 0 else "decode"
        fleet.add_runner(
            ENGINES, f"hall-{'abc'[number % 3]}", stage, ["--crash-part", BAD_PART]
        )


async def play(record: platform.Record, with_trouble: bool) -> bool:
    document = {
        "version": 7,
        "routes": [platform.route("resort-translate", "streaming", ENGINES)],
        "services": [platform.engine_service(ENGINES)],
        "limits": platform.limits(),
    }
    async with platform.running_fleet(record, HOSTS, build, document) as fleet:
        await asyncio.sleep(CONTACT_S)
        sound = platform.PromptLoad(fleet, PATH, f"{FIRST_PART}:200")
        bad = platform.PromptLoad(fleet, PATH, f"{FIRST_PART}:200,{BAD_PART}:400")
        fleet.start_task(sound.keep_sending(SOUND_PERIOD_S))
        while len(fleet.crash_times()) < CRASHES:
            bad.send()
            await asyncio.sleep(BAD_PERIOD_S)
        fifth_at = fleet.crash_times()[CRASHES - 1]
        if with_trouble:
            for number in range(HOSTS):
                fleet.kill_host(number)
            await asyncio.sleep(DOWN_S)
            for number in range(HOSTS):
                fleet.start_host(number, is_first_start=False)
            await fleet.all_ready()
        # From here on, all hosts are in touch.
        in_touch_at = time.monotonic() + CONTACT_S
        await asyncio.sleep(CONTACT_S)
        until = time.monotonic() + AFTER_S
        while time.monotonic() < until:
            bad.send()
            await asyncio.sleep(BAD_PERIOD_S)
        late = bad.reached(max(fifth_at, in_touch_at - CONTACT_S) + CONTACT_S)
        lost = sound.broken_off()
        is_broken = len(late) > MAX_LATE
        result = (
            f"{len(fleet.crash_times())} crashes; {len(late)} requests with the bad "
            f"part reached runners after the bound, {MAX_LATE} are allowed; {lost} "
            f"sound requests without a whole answer; BUDGET "
            f"{'broken' if is_broken else 'held'}"
        )
        record.write(result)
        print(result)
        return is_broken


if __name__ == "__main__":
    sys.exit(platform.run_case(Path(__file__).resolve().parent, play))
