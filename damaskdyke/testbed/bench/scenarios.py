"""Registry of benchmark scenarios, and the types of their results.

The field names of the results are the keys of the JSON report.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from damaskdyke.core.registry import Registry
from damaskdyke.testbed.load import make_histogram


@dataclass(frozen=True)
class Bound:
    """Figure of a result with its limit, which follows from a stated target.

    Parameters
    ----------
    name : str
        Name of the figure, with its unit.
    value : float
        Value in this run.
    limit : float
        Largest or smallest permitted value.
    is_most : bool
        Whether the limit is the largest permitted value, not the smallest.
    """

    name: str
    value: float
    limit: float
    is_most: bool = True

    @property
    def is_kept(self) -> bool:
        """Return whether the value is within the limit."""
        if self.is_most:
            return self.value <= self.limit
        return self.value >= self.limit


@dataclass
class Series:
    """Curve of a plot."""

    label: str
    x: list[float]
    y: list[float]


@dataclass
class Plot:
    """Plot of a report; ``is_log`` makes the y axis logarithmic."""

    title: str
    x_label: str
    y_label: str
    series: list[Series] = field(default_factory=list)
    is_log: bool = False


@dataclass
class Result:
    """Figures, bounds and plots of one scenario."""

    name: str
    figures: dict[str, float] = field(default_factory=dict)
    bounds: list[Bound] = field(default_factory=list)
    plots: list[Plot] = field(default_factory=list)

    def record(self, name: str, value: float) -> None:
        """Record a figure without a limit, rounded to three digits."""
        self.figures[name] = round(value, 3)

    def record_at_most(self, name: str, value: float, limit: float) -> None:
        """Record a figure that must not exceed a limit."""
        self.record(name, value)
        self.bounds.append(Bound(name, round(value, 3), limit))

    def record_at_least(self, name: str, value: float, limit: float) -> None:
        """Record a figure that must not fall below a limit."""
        self.record(name, value)
        self.bounds.append(Bound(name, round(value, 3), limit, is_most=False))


def make_percentile_series(label: str, durations: list[float]) -> Series:
    """Return the percentiles from 1 to 99, in milliseconds, of durations in seconds."""
    histogram = make_histogram(durations)
    percents = [float(percent) for percent in range(1, 100)]
    values = [histogram.get_value_at_percentile(percent) / 1000 for percent in percents]
    return Series(label, percents, values)


Scenario = Callable[[], Result]
scenarios: Registry[Scenario] = Registry("scenario")
