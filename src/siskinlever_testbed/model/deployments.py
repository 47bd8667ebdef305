"""Engines and arrivals of the users' deployments."""

from __future__ import annotations

from dataclasses import dataclass, replace

from siskinlever._internal.models.ids import ZoneName

from .arrivals import Arrivals, Burst, Sizes
from .engines import EngineSpeed
from .serving import Objectives


@dataclass(frozen=True, slots=True)
class Leaving:
    """Engines that leave while the store is out, so that no host knows of it.

    They finish what they run and refuse new reservations.

    Parameters
    ----------
    engines : tuple of int
        Numbers of the engines.
    from_s, until_s : float
        Seconds since the beginning of the simulation. The hosts know at `until_s`.
    """

    engines: tuple[int, ...]
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hosts, engines and arrivals of a deployment, with the figures of its site file.

    Engines with a number below `prefill_engines` prefill, the others decode.
    `stage_switch_s` is the duration of a stage switch, and `max_hold_s` the longest
    time that a reservation is held, both in seconds. `speed_pattern` repeats over the
    engines by number; 1.0 is the speed of the site file.
    """

    zones: tuple[ZoneName, ...]
    hosts: int
    engines: int
    prefill_engines: int
    speed: EngineSpeed
    arrivals: Arrivals
    objectives: Objectives = Objectives()
    urgent_objectives: Objectives | None = None
    stage_switch_s: float = 6.0
    max_hold_s: float = 2.0
    speed_pattern: tuple[float, ...] = (1.0,)
    leaving: Leaving | None = None

    def zone(self, number: int) -> ZoneName:
        """Return the zone of a host or an engine by its number."""
        return self.zones[number % len(self.zones)]


def transfer_ms_per_token(bytes_per_token: int, bits_per_s: float) -> float:
    """Return the time to transfer the KV cache of one token, in milliseconds."""
    return bytes_per_token * 8 * 1_000 / bits_per_s


def _zones(*names: str) -> tuple[ZoneName, ...]:
    return tuple(ZoneName(name) for name in names)


PROMPTS = Sizes(3_000, 0.5, 6_600)

# Bursts of a day with ordinary load in the users' site files.
BURSTS = (
    Burst(6.0, 5.0, 1.6),
    Burst(17.0, 4.0, 2.0),
    Burst(22.3, 5.0, 2.0),
    Burst(27.0, 4.0, 1.9),
)


def _arrivals(rate_per_s: float, events: Sizes, tokens_per_event: int) -> Arrivals:
    return Arrivals(
        rate_per_s=rate_per_s,
        length_s=34.0,
        prompt=PROMPTS,
        events=events,
        shared_prompt=200,
        tokens_per_event=tokens_per_event,
        hint_sigma=0.5,
        bursts=BURSTS,
    )


DEPLOYMENT_BY_NAME = {
    "ramdin-atelier": Deployment(
        zones=_zones("pamplemousses", "grand-baie", "goodlands"),
        hosts=8,
        engines=6,
        prefill_engines=1,
        speed=EngineSpeed(
            batch=64,
            capacity=36_068,
            step_ms=5.61,
            step_ms_per_run=0.121,
            prefill_tokens_per_ms=33.333,
            prefill_overhead_ms=61.0,
            transfer_ms_per_token=transfer_ms_per_token(18_432, 170e9),
            transfer_overhead_ms=8.0,
        ),
        arrivals=_arrivals(5.85, Sizes(73, 0.7, 170), tokens_per_event=7),
    ),
    "brosur-kl": Deployment(
        zones=_zones("hall-a", "hall-b", "hall-c"),
        hosts=7,
        engines=5,
        prefill_engines=1,
        speed=EngineSpeed(
            batch=48,
            capacity=42_411,
            step_ms=3.7,
            step_ms_per_run=0.0193,
            prefill_tokens_per_ms=33.333,
            prefill_overhead_ms=1.0,
            transfer_ms_per_token=transfer_ms_per_token(327_680, 3_300e9),
            transfer_overhead_ms=2.7,
        ),
        arrivals=_arrivals(5.2, Sizes(69, 0.7, 160), tokens_per_event=12),
    ),
    "ftp-innmeld": Deployment(
        zones=_zones("oslo-a", "oslo-b", "oslo-c"),
        hosts=7,
        engines=4,
        prefill_engines=1,
        speed=EngineSpeed(
            batch=16,
            capacity=78_413,
            step_ms=0.568,
            step_ms_per_run=0.0162,
            prefill_tokens_per_ms=55.556,
            prefill_overhead_ms=5.2,
            transfer_ms_per_token=transfer_ms_per_token(18_432, 2_200e9),
            transfer_overhead_ms=0.83,
            chunk=2_048,
        ),
        arrivals=replace(
            _arrivals(3.9, Sizes(70, 0.5, 130), tokens_per_event=67),
            prompt=Sizes(5_000, 0.5, 11_000),
        ),
        objectives=Objectives(patience_spread=0.15),
    ),
    # The hosts are those of the serving set, which callers use.
    "bookshop": Deployment(
        zones=_zones("karen", "kasarani", "upper-hill", "westlands"),
        hosts=12,
        engines=45,
        prefill_engines=10,
        speed=EngineSpeed(
            batch=12,
            capacity=26_153,
            step_ms=5.95,
            step_ms_per_run=0.12,
            prefill_tokens_per_ms=33.333,
            prefill_overhead_ms=2.7,
            transfer_ms_per_token=transfer_ms_per_token(327_680, 3_300e9),
            transfer_overhead_ms=2.7,
        ),
        arrivals=replace(
            _arrivals(39.5, Sizes(66, 0.7, 160), tokens_per_event=7),
            bursts=(Burst(6.0, 5.0, 1.6), Burst(17.0, 4.0, 2.0), Burst(27.0, 4.0, 1.9)),
        ),
        objectives=Objectives(first_event_s=0.913, caller_timeout_s=3.65),
        speed_pattern=(0.55, 1.2, 1.2, 1.2),
    ),
    "canal-hire": Deployment(
        zones=_zones("north", "east", "south", "west"),
        hosts=12,
        engines=45,
        prefill_engines=10,
        speed=EngineSpeed(
            batch=12,
            capacity=28_852,
            step_ms=3.79,
            step_ms_per_run=0.12,
            prefill_tokens_per_ms=33.333,
            prefill_overhead_ms=5.2,
            transfer_ms_per_token=transfer_ms_per_token(18_432, 170e9),
            transfer_overhead_ms=5.0,
        ),
        arrivals=replace(
            _arrivals(48.75, Sizes(67, 0.7, 160), tokens_per_event=12),
            bursts=(Burst(6.0, 5.0, 1.6), Burst(17.0, 4.0, 2.0), Burst(27.0, 4.0, 1.9)),
            urgent_share=7.15 / 48.75,
            urgent_worth=57 / 15,
        ),
        objectives=Objectives(
            first_event_s=2.013,
            caller_timeout_s=8.05,
            deadline_s=14.2,
            late_worth=4.4 / 15,
        ),
        urgent_objectives=Objectives(
            first_event_s=0.813,
            caller_timeout_s=3.25,
            deadline_s=14.2,
            late_worth=4.4 / 57,
        ),
    ),
}
