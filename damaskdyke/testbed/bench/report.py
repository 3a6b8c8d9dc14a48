"""Writes results as JSON and as a Markdown page with plots."""

import json
from dataclasses import asdict
from pathlib import Path

from damaskdyke.testbed.bench.scenarios import Bound, Plot, Result

REPORTS = Path("reports")


def write_report(results: list[Result], directory: Path = REPORTS) -> None:
    """Write ``bench.json``, ``bench.md`` and the plots to a directory."""
    directory.mkdir(exist_ok=True)
    data = [asdict(result) for result in results]
    (directory / "bench.json").write_text(json.dumps(data, indent=2) + "\n")
    lines = ["# Benchmark", ""]
    for result in results:
        lines += [f"## {result.name}", "", *format_bounds(result.bounds), ""]
        lines += format_figures(result)
        for number, plot in enumerate(result.plots):
            name = f"{result.name}-{number}.png"
            draw_plot(plot, directory / name)
            lines += ["", f"![{plot.title}]({name})"]
        lines.append("")
    (directory / "bench.md").write_text("\n".join(lines))


def format_bounds(bounds: list[Bound]) -> list[str]:
    """Return the lines of a Markdown table of bounds."""
    lines = ["| bound | figure | limit | verdict |", "| --- | --- | --- | --- |"]
    for bound in bounds:
        sign = "at most" if bound.is_most else "at least"
        verdict = "kept" if bound.is_kept else "FAILED"
        limit = f"{sign} {bound.limit}"
        lines.append(f"| {bound.name} | {bound.value} | {limit} | {verdict} |")
    return lines


def format_figures(result: Result) -> list[str]:
    """Return the lines of a Markdown list of all figures."""
    return [f"- {name}: {value}" for name, value in result.figures.items()]


def draw_plot(plot: Plot, path: Path) -> None:
    """Draw a plot to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for series in plot.series:
        axes.plot(series.x, series.y, label=series.label)
    axes.set_title(plot.title)
    axes.set_xlabel(plot.x_label)
    axes.set_ylabel(plot.y_label)
    if plot.is_log:
        axes.set_yscale("log")
    axes.legend()
    axes.grid(True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
