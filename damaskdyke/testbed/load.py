"""Open-loop load generator: arrivals follow a schedule, independent of the replies."""

import queue
import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import urllib3
from hdrh.histogram import HdrHistogram

# Range and precision of the histograms.
MAX_DURATION_US = 120_000_000
SIGNIFICANT_DIGITS = 3
MICROS_PER_SECOND = 1_000_000
DEFAULT_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True)
class Phase:
    """Part of a schedule with a constant rate, in calls per second."""

    seconds: float
    rate: float


@dataclass(frozen=True)
class Call:
    """Request that the load generator sends; ``kind`` groups it in the evaluation."""

    kind: str
    address: str
    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class Sample:
    """Result of one call.

    Parameters
    ----------
    call : Call
        The request.
    planned_at : float
        Scheduled arrival in seconds since the start of the load.
    duration_seconds : float
        From the scheduled arrival to the end of the reply, so it includes the wait for
        a free worker.
    status : int
        HTTP status; zero if no complete reply was received.
    outcome : str
        Outcome of an order, or the type of the error if there was no reply.
    upstream : str
        Name of the upstream stand-in that replied, if it is known.
    """

    call: Call
    planned_at: float
    duration_seconds: float
    status: int
    outcome: str
    upstream: str

    @property
    def is_good(self) -> bool:
        """Return whether a complete reply with a 2xx status was received."""
        return 200 <= self.status < 300


@dataclass
class SampleRecorder:
    """Thread-safe list of samples."""

    samples: list[Sample] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, sample: Sample) -> None:
        """Append a sample."""
        with self._lock:
            self.samples.append(sample)


def plan_arrivals(phases: Iterable[Phase], seed: int) -> list[float]:
    """Return the arrivals of a Poisson process with the rates of the phases.

    Arrivals are in seconds since the start of the load.
    """
    rng = random.Random(seed)
    arrivals = []
    start = 0.0
    for phase in phases:
        planned_at = start
        end = start + phase.seconds
        while phase.rate > 0:
            planned_at += rng.expovariate(phase.rate)
            if planned_at >= end:
                break
            arrivals.append(planned_at)
        start = end
    return arrivals


class OpenLoopLoad:
    """Sends calls at their scheduled arrivals from a pool of worker threads.

    Parameters
    ----------
    make_call : callable
        Returns the call for the index of an arrival.
    workers : int
        Maximum number of calls in flight.
    timeout : float
        Limit in seconds to connect, and for each read of a reply.
    """

    def __init__(
        self,
        make_call: Callable[[int], Call],
        workers: int = 128,
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
    ):
        self._make_call = make_call
        self._workers = workers
        self._timeout = timeout
        self._http = urllib3.PoolManager(
            num_pools=100, maxsize=workers, retries=False, block=False
        )
        self._queue: queue.SimpleQueue = queue.SimpleQueue()
        self.recorder = SampleRecorder()
        self.started_at = 0.0

    def run(self, arrivals: list[float]) -> list[Sample]:
        """Send a call at each arrival and return the samples once all have ended."""
        threads = [
            threading.Thread(target=self._send_queued_calls, daemon=True)
            for _ in range(self._workers)
        ]
        for thread in threads:
            thread.start()
        self.started_at = time.perf_counter()
        for number, planned_at in enumerate(arrivals):
            delay = self.started_at + planned_at - time.perf_counter()
            if delay > 0:
                time.sleep(delay)
            self._queue.put((number, planned_at))
        for _ in threads:
            self._queue.put(None)
        for thread in threads:
            thread.join()
        return self.recorder.samples

    def _send_queued_calls(self) -> None:
        while (item := self._queue.get()) is not None:
            number, planned_at = item
            self.recorder.add(self._send(self._make_call(number), planned_at))

    def _send(self, call: Call, planned_at: float) -> Sample:
        status, outcome, upstream = 0, "", ""
        try:
            response = self._http.request(
                call.method,
                f"http://{call.address}{call.path}",
                body=call.body or None,
                headers=dict(call.headers),
                timeout=self._timeout,
            )
            status = response.status
            outcome = response.headers.get("Order-Outcome", "")
            upstream = parse_upstream_name(response.data)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            outcome = type(error).__name__
        duration_seconds = time.perf_counter() - self.started_at - planned_at
        return Sample(call, planned_at, duration_seconds, status, outcome, upstream)


def parse_upstream_name(body: bytes) -> str:
    """Return the upstream name in the body of a stand-in's reply, or an empty text."""
    marker = b'"upstream": "'
    start = body.find(marker)
    if start < 0:
        return ""
    start += len(marker)
    return body[start : body.find(b'"', start)].decode()


def make_histogram(durations: Iterable[float]) -> HdrHistogram:
    """Return a histogram in microseconds of durations given in seconds."""
    histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
    for duration_seconds in durations:
        histogram.record_value(
            min(MAX_DURATION_US, max(1, int(duration_seconds * MICROS_PER_SECOND)))
        )
    return histogram


def compute_percentile_ms(durations: Iterable[float], percent: float) -> float:
    """Return a percentile, in milliseconds, of durations given in seconds."""
    return make_histogram(durations).get_value_at_percentile(percent) / 1000
