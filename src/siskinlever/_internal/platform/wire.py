"""Headers and calls of the platform's HTTP interface.

Covers the traffic between callers, hosts and runners.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from urllib.parse import parse_qs

from ..models.ids import RunnerName, ZoneName
from ..models.routes import RequestKind
from ..models.upstreams import Address, LoadReport, RunnerKey, Stage
from ..models.workspaces import Allowance, AllowanceUnit, CallerIdentity
from ..network.http1_client import AnswerHead, Call, Header
from ..network.http1_server import ReceivedRequest
from .fields import MS_PER_S

REQUEST_ID = b"attempt-id"
# Milliseconds that remain, not a point in time.
TIME_LEFT = b"deadline-ms"
# Id of the last event that the caller received.
LAST_EVENT = b"last-event-id"
# Its presence shows that a runner sent the answer. The platform specifies no
# algorithm to verify it.
SIGNATURE = b"server-signature"
EXPECTED_RUNNER = b"expected-instance"
RUNNER_NAME = b"instance-id"
LOAD = b"instance-load"
NOT_RUN = b"not-executed"
# Prompt tokens and maximum output tokens of a request.
TOKENS = b"token-usage"
# Parts of the prompt in order, as id and number of tokens.
PROMPT_PARTS = b"prompt-prefix"
# The caller's estimate of the output tokens.
OUTPUT_HINT = b"length-hint"
PRIORITY = b"request-priority"
STAGE = b"serving-stage"
# Address of the runner that has the prompt's KV cache, and its handle there.
KV_SOURCE = b"kv-source"
HOLD = b"kv-hold"
# Names the workspace of the caller's key; callers send the key.
WORKSPACE = b"tenant"
CREDENTIALS = b"authorization"
# Id of the attempt that brought the first event of the stream that a caller takes up.
FIRST_ATTEMPT = b"resumes"

# Only hosts set these headers in requests to runners; those that a caller sent are not
# forwarded.
ROUTER_HEADERS = frozenset(
    {
        EXPECTED_RUNNER,
        PRIORITY,
        STAGE,
        KV_SOURCE,
        HOLD,
        TIME_LEFT,
        b"pin-ms",
        b"kv-backup",
        b"kv-fetch",
    }
)
# Not forwarded either if the configuration has workspaces.
CALLER_IDENTITY_HEADERS = frozenset({CREDENTIALS, WORKSPACE})
BEARER = b"bearer"
# Hop-by-hop headers, and headers that are regenerated together with the body.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Never removed, even if a caller lists them in its Connection header.
PRESERVED_HEADERS = frozenset(
    {b"host", REQUEST_ID, b"model", TOKENS, PROMPT_PARTS, LAST_EVENT, OUTPUT_HINT}
)
# Headers that may tell one caller from another.
CALLER_HEADERS = (CREDENTIALS, b"cookie")
EVENT_STREAM = "text/event-stream"
READINESS_PATH = "/readyz"
LOOKUP_PATH = "/resolve"
# More than any allowance; larger statements could not be computed with.
MAX_COST = 10**12
# A count in the load header; longer ones are not counts of requests.
COUNT = re.compile(r"[0-9]{1,9}\Z")


@dataclass(frozen=True, slots=True)
class GenerationSize:
    """Token counts that determine the cost of a generation.

    Parameters
    ----------
    prompt_tokens : int
    max_output_tokens : int
    likely_output_tokens : int
        The caller's estimate, which is correct in the median but often far off,
        clamped to the range from 1 to ``max_output_tokens``;
        ``max_output_tokens`` if there is no valid estimate.
    """

    prompt_tokens: int
    max_output_tokens: int
    likely_output_tokens: int


@dataclass(frozen=True, slots=True)
class SendOptions:
    """Headers that a host adds to a request for a runner.

    Parameters
    ----------
    runner : RunnerKey
        The only runner that may accept the request; others refuse it.
    time_left_s : float
        Seconds after which the runner stops processing the request.
    stage : Stage or None
        PREFILL to run only the prefill.
    kv_source : str or None
        Address and handle of the prompt's KV cache.
    hold : str or None
        Id of a reservation at the runner.
    last_event : str or None
        The stream resumes after this event.
    priority : int or None
        From 0, the highest, to 9, the lowest.
    identity : CallerIdentity or None
        Replaces the caller's key; None if the configuration has no workspaces, in which
        case all that the caller sent is forwarded.
    """

    runner: RunnerKey
    time_left_s: float
    stage: Stage | None = None
    kv_source: str | None = None
    hold: str | None = None
    last_event: str | None = None
    priority: int | None = None
    identity: CallerIdentity | None = None


def request_id(request: ReceivedRequest) -> str:
    """Return the id that the caller gave the request, or ""."""
    return request.get(REQUEST_ID) or ""


def first_attempt_id(request: ReceivedRequest) -> str:
    """Return the id of the attempt whose stream the request continues, or ""."""
    return request.get(FIRST_ATTEMPT) or ""


def continues_stream(request: ReceivedRequest) -> bool:
    """Return whether the caller has received events of the stream before."""
    has_events = request.get(LAST_EVENT) not in (None, "", "0")
    return has_events or bool(first_attempt_id(request))


def host_name(request: ReceivedRequest) -> str:
    """Return the value of the Host header, or ""."""
    return request.get(b"host") or ""


def time_left_s(request: ReceivedRequest) -> float | None:
    """Return the seconds that the caller will wait, or None if not stated."""
    try:
        milliseconds = float(request.get(TIME_LEFT) or "")
    except ValueError:
        return None
    return milliseconds / MS_PER_S if math.isfinite(milliseconds) else None


def generation_size(request: ReceivedRequest) -> GenerationSize | None:
    """Return the size of a generation, or None for other requests."""
    try:
        prompt, max_output = (
            int(part) for part in (request.get(TOKENS) or "").split(",")
        )
    except ValueError:
        return None
    if prompt < 0 or max_output < 0:
        return None
    try:
        likely_output = int(float(request.get(OUTPUT_HINT) or max_output))
    except (ValueError, OverflowError):
        likely_output = max_output
    return GenerationSize(prompt, max_output, min(max(likely_output, 1), max_output))


def request_cost(request: ReceivedRequest, allowance: Allowance) -> float:
    """Return what a request costs of an allowance, in the unit of the allowance.

    A request whose statement of its tokens can't be read costs as one without it.
    """
    if allowance.unit is AllowanceUnit.REQUESTS:
        return 1.0
    size = generation_size(request)
    if size is None:
        return allowance.default_cost
    return float(min(size.prompt_tokens + size.max_output_tokens, MAX_COST))


def shared_prompt_parts(request: ReceivedRequest) -> list[str]:
    """Return the ids of the prompt's parts that other requests may share.

    The last part belongs to the request alone.
    """
    entries = (request.get(PROMPT_PARTS) or "").split(",")
    return [entry.partition(":")[0].strip() for entry in entries[:-1]]


def request_identity(request: ReceivedRequest) -> list[bytes]:
    """Return what a request has in common with its repetitions.

    These are its method, host, path, body, the shared parts of its prompt, and what
    names the caller, but not its id, its time, or how far a stream had come.
    """
    headers = (request.get(name) or "" for name in (b"host", *CALLER_HEADERS))
    texts = [*headers, ",".join(shared_prompt_parts(request))]
    return [
        request.method,
        request.target,
        *(text.encode("latin-1") for text in texts),
        request.body,
    ]


def caller_keys(request: ReceivedRequest) -> tuple[bytes, ...]:
    """Return the key that a request carries, in the encodings that a key may have.

    A configuration states keys as text, and callers encode text beyond ASCII in either
    of two ways. Empty if there is no key. Different keys, and credentials of another
    scheme, are returned as a text that no header can carry, which is no key.
    """
    values = [value for name, value in request.headers if name.lower() == CREDENTIALS]
    keys = list(dict.fromkeys(key for key in map(_bearer_key, values) if key))
    if len(keys) != 1:
        return (b"\r\n".join(keys),) if keys else ()
    (key,) = keys
    return (key,) if key.isascii() else (key, key.decode("latin-1").encode())


def _bearer_key(value: bytes) -> bytes:
    scheme, _, key = value.strip(b" \t").partition(b" ")
    if scheme.lower() == BEARER:
        return key.strip(b" \t")
    return b"\r\n" + value if scheme else b""


def runner_call(request: ReceivedRequest, options: SendOptions) -> Call:
    """Return the call that sends a caller's request to a runner."""
    dropped = ROUTER_HEADERS
    if options.identity is not None:
        dropped |= CALLER_IDENTITY_HEADERS
    headers = [
        *_end_to_end_headers(request.headers, dropped),
        *_option_headers(options),
    ]
    if options.last_event is not None:
        headers = [h for h in headers if h[0].lower() != LAST_EVENT]
        headers.append((b"Last-Event-Id", options.last_event.encode()))
    headers.append((b"Connection", b"close"))
    return Call(request.method, request.target, headers, request.body)


def with_less_time(call: Call, seconds: float) -> Call:
    """Return a call whose runner may take less time, after a delay before its send."""
    headers = [
        (name, _less_time(value, seconds) if name.lower() == TIME_LEFT else value)
        for name, value in call.headers
    ]
    return replace(call, headers=headers)


def _less_time(value: bytes, seconds: float) -> bytes:
    return str(max(1, int(value) - int(seconds * MS_PER_S))).encode()


def _option_headers(options: SendOptions) -> list[Header]:
    values: list[tuple[bytes, str | None]] = [
        (b"Expected-Instance", options.runner.name),
        (b"Deadline-Ms", str(max(1, int(options.time_left_s * MS_PER_S)))),
        (b"Serving-Stage", options.stage.value if options.stage else None),
        (b"Kv-Source", options.kv_source),
        (b"Kv-Hold", options.hold),
        (
            b"Request-Priority",
            None if options.priority is None else str(options.priority),
        ),
        (b"Tenant", options.identity.workspace if options.identity else None),
    ]
    return [(name, value.encode()) for name, value in values if value is not None]


def _end_to_end_headers(
    headers: Iterable[Header], dropped: frozenset[bytes]
) -> list[Header]:
    headers = list(headers)
    listed = {
        name.strip().lower()
        for header, value in headers
        if header.lower() == b"connection"
        for name in value.split(b",")
    }
    removed = (listed - PRESERVED_HEADERS) | HOP_BY_HOP_HEADERS | dropped
    return [(name, value) for name, value in headers if name.lower() not in removed]


def answer_headers(head: AnswerHead) -> list[Header]:
    """Return the headers of a runner's answer that are passed to the caller."""
    return _end_to_end_headers(head.headers, frozenset())


def content_length(head: AnswerHead) -> int | None:
    """Return the answer's Content-Length, or None if absent or chunked."""
    value = head.get(b"content-length")
    chunked = head.get(b"transfer-encoding") is not None
    return int(value) if value is not None and not chunked else None


def media_type(head: AnswerHead) -> str:
    """Return the type of an answer's body without parameters, or ""."""
    return (head.get(b"content-type") or "").partition(";")[0].strip().lower()


def is_event_stream(head: AnswerHead, kind: RequestKind) -> bool:
    """Return whether the body of an answer to a request of a kind is a stream."""
    is_stream = kind is RequestKind.STREAM or media_type(head) == EVENT_STREAM
    return head.status == 200 and is_stream


def is_answer_to(head: AnswerHead, request: ReceivedRequest) -> bool:
    """Return whether an answer carries the id of the request."""
    return head.get(REQUEST_ID) == request.get(REQUEST_ID)


def is_answer_to_other(head: AnswerHead, request: ReceivedRequest) -> bool:
    """Return whether an answer carries the id of another request."""
    return head.get(REQUEST_ID) not in (None, request.get(REQUEST_ID))


def is_signed(head: AnswerHead) -> bool:
    """Return whether an answer carries a runner's signature."""
    return head.get(SIGNATURE) is not None


def is_not_run(head: AnswerHead) -> bool:
    """Return whether a runner reports that it did not run a request."""
    return head.get(NOT_RUN) is not None or head.status == 421


def is_refusal_of(head: AnswerHead, request: ReceivedRequest) -> bool:
    """Return whether a runner reports that it did not run the request.

    The refusal of another request tells nothing of this one, which may run.
    """
    return is_not_run(head) and not is_answer_to_other(head, request)


def is_other_runner(head: AnswerHead, expected: RunnerName) -> bool:
    """Return whether a runner other than the expected one answered."""
    return head.status == 421 and head.get(RUNNER_NAME) not in (None, expected)


def parse_load(head: AnswerHead) -> LoadReport | None:
    """Return the load that an answer reports, or None.

    Figures after the fourth are ignored, as is a fourth one that is not a positive
    number.
    """
    parts = [part.strip() for part in (head.get(LOAD) or "").split(",")]
    counts = [int(part) for part in parts[:3] if COUNT.match(part)]
    if len(counts) < 3:
        return None
    running, waiting, slots = counts
    return LoadReport(running, waiting, slots, _work_time(parts[3:4]))


def _work_time(percent: Sequence[str]) -> float | None:
    """Return the relative duration of work, stated in percent, or None."""
    try:
        value = float(percent[0])
    except (IndexError, ValueError):
        return None
    return value / 100 if math.isfinite(value) and value > 0 else None


def error_headers(
    request: ReceivedRequest | None, retry_after_s: float | None
) -> list[Header]:
    """Return the headers of an error answer that this host generates.

    Parameters
    ----------
    request : ReceivedRequest or None
        Its id, if any, is included.
    retry_after_s : float or None
        Seconds after which the caller should retry, if stated.
    """
    headers: list[Header] = [(b"Content-Type", b"text/plain")]
    identifier = request_id(request) if request else ""
    if identifier:
        headers.append((b"Attempt-Id", identifier.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
    return headers


def lookup_zone(request: ReceivedRequest) -> ZoneName:
    """Return the zone that a caller states in a lookup, or ""."""
    query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
    return ZoneName(query.get("zone", [""])[0])


def lookup_answer(addresses: Sequence[Address], lifetime_s: float) -> bytes:
    """Return the body of a lookup answer.

    Parameters
    ----------
    addresses : sequence of str
        Hosts that callers may use.
    lifetime_s : float
        Seconds for which callers may use the answer.
    """
    body = {"addresses": list(addresses), "ttl_s": lifetime_s}
    return json.dumps(body, separators=(",", ":")).encode()
