"""Fits straight lines to the series of ``slopes`` and plots them."""

import csv
import dataclasses
import math
import pathlib
import sys
import typing

import matplotlib
import numpy

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402, H306

LOG_SERIES = ("spread_time",)
"""Series whose value grows with the logarithm of ``x``."""

LOG_AXIS_RATIO = 30.0


@dataclasses.dataclass(frozen=True)
class Series:
    """The points of one series, ordered by ``x``."""

    name: str
    x_name: str
    unit: str
    xs: tuple[float, ...]
    ys: tuple[float, ...]


@dataclasses.dataclass(frozen=True)
class Fit:
    """``y = base + slope * x``; ``logarithmic`` has log2(x) for x.

    The residual is the root mean square error, relative to the mean of
    the absolute values.
    """

    base: float
    slope: float
    residual: float
    logarithmic: bool

    def at(self, x: float) -> float:
        """Return the fitted value at ``x``."""
        position = math.log2(x) if self.logarithmic else x
        return self.base + self.slope * position


def read(path: pathlib.Path) -> list[Series]:
    """Read the CSV that ``slopes`` wrote."""
    rows: dict[tuple[str, str, str], list[tuple[float, float]]] = {}
    with path.open(newline="") as stream:
        for row in csv.DictReader(stream):
            key = (row["series"], row["x_name"], row["unit"])
            point = (float(row["x"]), float(row["value"]))
            rows.setdefault(key, []).append(point)
    return [
        Series(name, x_name, unit, tuple(xs), tuple(ys))
        for (name, x_name, unit), points in rows.items()
        for xs, ys in [zip(*sorted(points), strict=True)]
    ]


def fit(series: Series) -> Fit:
    """Fit a line by least squares, over log2(x) for ``LOG_SERIES``."""
    logarithmic = series.name in LOG_SERIES
    xs = numpy.array(series.xs)
    if logarithmic:
        xs = numpy.log2(xs)
    values = numpy.array(series.ys)
    slope, base = numpy.polyfit(xs, values, 1)
    errors = values - (base + slope * xs)
    mean = float(numpy.mean(numpy.abs(values))) or 1.0
    residual = float(numpy.sqrt(numpy.mean(errors**2))) / mean
    return Fit(float(base), float(slope), residual, logarithmic)


def draw(all_series: list[Series], path: pathlib.Path) -> None:
    """Plot every series with its fit into one image file."""
    columns = 4
    rows = -(-len(all_series) // columns)
    figure, axes = pyplot.subplots(
        rows, columns, figsize=(4 * columns, 2.8 * rows)
    )
    flat: list[typing.Any] = list(numpy.array(axes).flat)
    for axis, series in zip(flat, all_series, strict=False):
        line = fit(series)
        axis.plot(series.xs, series.ys, "o", label="measured")
        axis.plot(series.xs, [line.at(x) for x in series.xs], label="fit")
        if series.xs[-1] > LOG_AXIS_RATIO * series.xs[0]:
            axis.set_xscale("log")
        axis.set_title(f"{series.name} ({series.unit})", fontsize=9)
        axis.set_xlabel(series.x_name, fontsize=8)
        axis.legend(fontsize=7)
    for axis in flat[len(all_series) :]:
        axis.set_visible(False)
    figure.tight_layout()
    figure.savefig(path, dpi=70)


def print_fits(all_series: list[Series]) -> None:
    """Print the fits as a Markdown table."""
    print("| series | base | slope | per | residual |")
    print("| --- | --- | --- | --- | --- |")
    for series in all_series:
        line = fit(series)
        per = (
            f"doubling of {series.x_name}"
            if line.logarithmic
            else series.x_name
        )
        print(
            f"| {series.name} ({series.unit}) | {line.base:.4g} | "
            f"{line.slope:.4g} | {per} | {line.residual:.1%} |"
        )


def main() -> None:
    """Fit and plot: ``plots CSV PNG``."""
    all_series = read(pathlib.Path(sys.argv[1]))
    draw(all_series, pathlib.Path(sys.argv[2]))
    print_fits(all_series)


if __name__ == "__main__":
    main()
