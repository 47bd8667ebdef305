"""Which hosts callers are sent to, and which hosts share their loads at once."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from lib.discarded_log import DISCARDED_LOG

from siskinlever._internal.fleet.hosts import HostStatus, HostTable, HostWork
from siskinlever._internal.fleet.lookup import addresses_for
from siskinlever._internal.fleet.serving_set import (
    MAX_READERS,
    MAX_SMALL_FLEET,
    MIN_SERVING_CORES,
    MIN_SERVING_HOSTS,
    REPORT_TTL_S,
    ServingView,
    serving_set,
)
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics

ZONES = ("a", "b", "c", "d", "e")


def status(number: int, zone: str, cores: float = 0.5, serving: bool = True):
    return HostStatus(
        host=f"{zone}-{number}",
        zone=zone,
        incarnation=1,
        callers_address=f"{zone}-{number}:1",
        peers_address=f"{zone}-{number}:2",
        serving=serving,
        cores=cores,
    )


def fleet(hosts_per_zone: int, strong_per_zone: int = 0) -> list[HostStatus]:
    return [
        status(number, zone, 2.15 if number < strong_per_zone else 0.516)
        for zone in ZONES
        for number in range(hosts_per_zone)
    ]


def table(statuses, own: HostStatus) -> HostTable:
    log = LogLines(own.host, Metrics(), DISCARDED_LOG)
    hosts = HostTable(own.host, log)
    for other in statuses:
        hosts.update_host(other, HostWork())
    return hosts


def view_of(own: HostStatus, statuses, now=lambda: 0.0) -> ServingView:
    view = ServingView(own.host, lambda: own, table(statuses, own), now)
    view.refresh()
    return view


def returned(own: HostStatus, statuses, zone: str = "") -> list[str]:
    return addresses_for(view_of(own, statuses), own, zone)


def test_all_hosts_of_a_small_fleet_serve():
    hosts = [status(number, "abc"[number % 3]) for number in range(MAX_SMALL_FLEET)]
    assert serving_set(hosts) == hosts
    assert len(returned(hosts[0], hosts, "a")) == MAX_SMALL_FLEET


def test_few_strong_hosts_of_each_zone_serve_in_a_large_fleet():
    chosen = serving_set(fleet(39, strong_per_zone=3))
    assert len(chosen) == MIN_SERVING_HOSTS * len(ZONES)
    assert {host.cores for host in chosen} == {2.15}
    weak = serving_set(fleet(39))
    for zone in ZONES:
        assert sum(h.cores for h in weak if h.zone == zone) >= MIN_SERVING_CORES


def test_all_hosts_choose_the_same_whatever_the_order():
    hosts = fleet(39, strong_per_zone=1)
    shuffled = random.Random(3).sample(hosts, len(hosts))
    assert {h.host for h in serving_set(hosts)} == {
        h.host for h in serving_set(shuffled)
    }


def test_loss_of_any_hosts_leaves_every_zone_that_has_hosts_served():
    generator = random.Random(7)
    hosts = fleet(39, strong_per_zone=3)
    for _ in range(50):
        living = generator.sample(hosts, generator.randint(1, len(hosts)))
        served = {host.zone for host in serving_set(living)}
        assert served == {host.zone for host in living}


def test_loss_of_a_host_changes_no_other_choice():
    hosts = fleet(39, strong_per_zone=3)
    chosen = serving_set(hosts)
    lost = chosen[0]
    after = serving_set([host for host in hosts if host != lost])
    assert {h.host for h in chosen} - {lost.host} <= {h.host for h in after}


def test_callers_are_sent_to_their_own_zone():
    hosts = fleet(39, strong_per_zone=3)
    own = hosts[-1]
    assert {a[0] for a in returned(own, hosts, "b")} == {"b"}
    assert {a[0] for a in returned(own, hosts)} == set(ZONES)
    assert {a[0] for a in returned(own, hosts, "elsewhere")} == set(ZONES)


def test_callers_of_a_zone_with_a_single_host_are_sent_to_other_zones_too():
    hosts = [h for h in fleet(20) if h.zone != "b"] + [status(0, "b")]
    assert {a[0] for a in returned(hosts[0], hosts, "b")} == set(ZONES)


def test_hosts_that_stop_or_have_no_configuration_are_not_returned():
    hosts = fleet(20, strong_per_zone=2)
    strong = [host for host in hosts if host.cores > 1]
    stopping = [replace(host, serving=False) for host in strong]
    known = [h for h in hosts if h not in strong] + stopping
    addresses = set(returned(hosts[-1], known, "a"))
    assert addresses and not addresses & {h.callers_address for h in stopping}


def test_host_outside_the_set_learns_from_two_hosts_of_its_zone():
    hosts = fleet(39, strong_per_zone=3)
    own = hosts[-1]
    view = view_of(own, hosts)
    assert not view.is_serving and not view.is_reader
    assert len(view.partners()) == 2
    assert {address[0] for address in view.partners()} == {own.zone}
    serving = view_of(hosts[0], hosts)
    assert serving.is_serving
    assert serving.partners() == serving.addresses


def test_few_hosts_follow_the_store_and_others_step_in():
    hosts = fleet(39, strong_per_zone=3)
    serving = {host.host for host in serving_set(hosts)}

    def readers(statuses):
        return {
            own.host
            for own in statuses
            if own.host in serving and view_of(own, statuses).is_reader
        }

    def with_readers(names, turned_away=frozenset()):
        return [
            replace(host, reads_store=host.host in names - turned_away)
            for host in hosts
        ]

    # No host reports yet that it reads the store, so all of the set do.
    assert readers(hosts) == serving
    settled = readers(with_readers(serving))
    assert len(settled) == MAX_READERS
    assert readers(with_readers(settled)) == settled
    turned_away = set(sorted(settled)[:2])
    replaced = readers(with_readers(settled, turned_away))
    assert len(replaced - turned_away) >= MAX_READERS


def test_hubs_are_chosen_evenly():
    hosts = fleet(39, strong_per_zone=3)
    outside = [host for host in hosts if host.cores < 1]
    uses = Counter(a for own in outside for a in view_of(own, hosts).partners())
    assert len(uses) == MIN_SERVING_HOSTS * len(ZONES)
    assert max(uses.values()) <= 2 * min(uses.values())


def test_every_host_reads_the_store_while_no_host_serves():
    hosts = [replace(host, serving=False) for host in fleet(39)]
    view = view_of(hosts[0], hosts)
    assert view.is_large and view.is_reader
    assert addresses_for(view, hosts[0], "a") == [hosts[0].callers_address]


def test_host_relies_on_the_set_that_a_hub_reports_for_a_while():
    hosts = fleet(39, strong_per_zone=3)
    own = hosts[-1]
    now = [0.0]
    view = view_of(own, hosts, lambda: now[0])
    lost, *left = [h for h in view.serving if h.zone == "b"]
    view.note_report(left[0].host, [h for h in view.serving if h is not lost])
    view.refresh()
    assert addresses_for(view, own, "b") == [h.callers_address for h in left]
    now[0] = REPORT_TTL_S + 0.1
    view.refresh()
    assert lost.callers_address in addresses_for(view, own, "b")


def test_host_that_a_hub_reports_as_serving_serves():
    hosts = fleet(39, strong_per_zone=3)
    own = hosts[-1]
    view = view_of(own, hosts)
    view.note_report(view.serving[0].host, [*view.serving, own])
    view.refresh()
    assert view.is_serving and view.is_reader


def test_earlier_set_that_a_host_outside_it_reports_is_not_used():
    """A start leaves reports of sets that lack the hosts that started last."""
    hosts = fleet(39, strong_per_zone=3)
    view = view_of(hosts[-1], hosts)
    hub, newest = view.serving[0], view.serving[-1]
    outside = hosts[-2]
    view.note_report(hub.host, view.serving)
    earlier = [*(h for h in view.serving if h is not newest), outside]
    view.note_report(outside.host, earlier)
    view.refresh()
    assert newest in view.serving and outside not in view.serving
