"""Registry of scenarios and the form of their results."""

from collections.abc import Callable
from dataclasses import dataclass, field

from damaskdyke.core.registry import Registry
from damaskdyke.testbed.load import make_histogram


@dataclass(frozen=True)
class Bound:
    """One figure of a result and the bound from the stated target.

    Parameters
    ----------
    name : str
        What is measured, with its unit.
    value : float
        Figure of this run.
    limit : float
        Bound of the target.
    is_most : bool
        Whether the limit is the largest good value, not the smallest.
    """

    name: str
    value: float
    limit: float
    is_most: bool = True

    @property
    def is_kept(self) -> bool:
        """Return whether the figure is within the bound."""
        if self.is_most:
            return self.value <= self.limit
        return self.value >= self.limit


@dataclass
class Series:
    """One curve of a plot."""

    label: str
    x: list[float]
    y: list[float]


@dataclass
class Plot:
    """One plot of a report."""

    title: str
    x_label: str
    y_label: str
    series: list[Series] = field(default_factory=list)
    is_log: bool = False


@dataclass
class Result:
    """What one scenario measured."""

    name: str
    figures: dict[str, float] = field(default_factory=dict)
    bounds: list[Bound] = field(default_factory=list)
    plots: list[Plot] = field(default_factory=list)

    def record(self, name: str, value: float) -> None:
        """Record a figure without a bound."""
        self.figures[name] = round(value, 3)

    def record_at_most(self, name: str, value: float, limit: float) -> None:
        """Record a figure that may not be above a limit."""
        self.record(name, value)
        self.bounds.append(Bound(name, round(value, 3), limit))

    def record_at_least(self, name: str, value: float, limit: float) -> None:
        """Record a figure that may not be below a limit."""
        self.record(name, value)
        self.bounds.append(Bound(name, round(value, 3), limit, is_most=False))


def make_percentile_series(label: str, durations: list[float]) -> Series:
    """Return the percentiles of durations, given in seconds, in milliseconds."""
    histogram = make_histogram(durations)
    percents = [float(percent) for percent in range(1, 100)]
    values = [histogram.get_value_at_percentile(percent) / 1000 for percent in percents]
    return Series(label, percents, values)


Scenario = Callable[[], Result]
scenarios: Registry[Scenario] = Registry("scenario")
