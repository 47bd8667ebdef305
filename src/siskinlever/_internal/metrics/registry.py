"""Counters, gauges and latencies, exported in the Prometheus text format.

Latencies are exported as summaries.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import TypeVar

from hdrh.histogram import HdrHistogram

from .names import HELP_BY_NAME

T = TypeVar("T")

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_FIGURES = 2
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.95, 0.99)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """The counters, gauges and latencies of one process."""

    def __init__(self) -> None:
        self._count_by_key: Counter[tuple[str, Labels]] = Counter()
        self._gauge_by_key: dict[tuple[str, Labels], float] = {}
        self._latency_by_key: dict[tuple[str, Labels], HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter by ``amount``."""
        self._count_by_key[name, _key(labels)] += amount  # type: ignore[assignment]

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge to ``value``."""
        self._gauge_by_key[name, _key(labels)] = value

    def drop_gauges(self, name: str) -> None:
        """Remove all series of a gauge, some of which may no longer be current."""
        for key in [key for key in self._gauge_by_key if key[0] == name]:
            del self._gauge_by_key[key]

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency in seconds."""
        key = (name, _key(labels))
        histogram = self._latency_by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
            self._latency_by_key[key] = histogram
        value = min(max(int(seconds * US_PER_S), LOWEST_US), HIGHEST_US)
        histogram.record_value(value)

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""
        return self._count_by_key[name, _key(labels)]

    def exposition(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines: list[str] = []
        for name, counts in _by_name(self._count_by_key):
            lines += _header_lines(f"siskinlever_{name}_total", "counter", name)
            for labels, count in counts:
                lines.append(
                    f"siskinlever_{name}_total{_format_labels(labels)} {count}"
                )
        for name, values in _by_name(self._gauge_by_key):
            lines += _header_lines(f"siskinlever_{name}", "gauge", name)
            for labels, value in values:
                lines.append(f"siskinlever_{name}{_format_labels(labels)} {value}")
        for name, histograms in _by_name(self._latency_by_key):
            lines += _header_lines(f"siskinlever_{name}_seconds", "summary", name)
            for labels, histogram in histograms:
                lines += _summary_lines(
                    f"siskinlever_{name}_seconds", labels, histogram
                )
        return "\n".join(lines) + "\n"


def _by_name(
    by_key: Mapping[tuple[str, Labels], T],
) -> Iterator[tuple[str, list[tuple[Labels, T]]]]:
    """Group by name, because the format requires a metric's lines to be adjacent."""
    for name in sorted({name for name, _ in by_key}):
        series = [(labels, v) for (key, labels), v in by_key.items() if key == name]
        yield name, sorted(series, key=lambda item: item[0])


def _header_lines(name: str, kind: str, key: str) -> list[str]:
    text = HELP_BY_NAME.get(key, key.replace("_", " ").capitalize() + ".")
    return [f"# HELP {name} {text}", f"# TYPE {name} {kind}"]


def _key(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{n}="{_escape(v)}"' for n, v in labels) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _summary_lines(name: str, labels: Labels, histogram: HdrHistogram) -> list[str]:
    lines = []
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile * 100) / US_PER_S
        formatted_labels = _format_labels((*labels, ("quantile", str(quantile))))
        lines.append(f"{name}{formatted_labels} {value}")
    total = histogram.get_mean_value() * histogram.total_count / US_PER_S
    lines.append(f"{name}_sum{_format_labels(labels)} {total}")
    lines.append(f"{name}_count{_format_labels(labels)} {histogram.total_count}")
    return lines
