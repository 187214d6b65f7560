"""Fits straight lines to measured slopes and draws them."""

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
"""Series that grow with the logarithm of size."""

LOG_AXIS_RATIO = 30.0


@dataclasses.dataclass(frozen=True)
class Series:
    """One series' points, in the order of size."""

    name: str
    x_name: str
    unit: str
    xs: tuple[float, ...]
    ys: tuple[float, ...]


@dataclasses.dataclass(frozen=True)
class Fit:
    """``y = base + slope * x``; the residual is relative to the mean."""

    base: float
    slope: float
    residual: float
    logarithmic: bool

    def at(self, x: float) -> float:
        """Return the fitted value."""
        place = math.log2(x) if self.logarithmic else x
        return self.base + self.slope * place


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
    """Fit a line by least squares."""
    logarithmic = series.name in LOG_SERIES
    places = numpy.array(series.xs)
    if logarithmic:
        places = numpy.log2(places)
    values = numpy.array(series.ys)
    slope, base = numpy.polyfit(places, values, 1)
    errors = values - (base + slope * places)
    mean = float(numpy.mean(numpy.abs(values))) or 1.0
    residual = float(numpy.sqrt(numpy.mean(errors**2))) / mean
    return Fit(float(base), float(slope), residual, logarithmic)


def draw(found: list[Series], path: pathlib.Path) -> None:
    """Draw every series with its fit into one picture."""
    columns = 4
    lines = -(-len(found) // columns)
    figure, axes = pyplot.subplots(
        lines, columns, figsize=(4 * columns, 2.8 * lines)
    )
    flat: list[typing.Any] = list(numpy.array(axes).flat)
    for axis, series in zip(flat, found, strict=False):
        line = fit(series)
        axis.plot(series.xs, series.ys, "o", label="measured")
        axis.plot(series.xs, [line.at(x) for x in series.xs], label="fit")
        if series.xs[-1] > LOG_AXIS_RATIO * series.xs[0]:
            axis.set_xscale("log")
        axis.set_title(f"{series.name} ({series.unit})", fontsize=9)
        axis.set_xlabel(series.x_name, fontsize=8)
        axis.legend(fontsize=7)
    for axis in flat[len(found) :]:
        axis.set_visible(False)
    figure.tight_layout()
    figure.savefig(path, dpi=70)


def print_fits(found: list[Series]) -> None:
    """Print each fit as a row of a Markdown table."""
    print("| series | base | slope | per | residual |")
    print("| --- | --- | --- | --- | --- |")
    for series in found:
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
    """Fit and draw: ``plots CSV PNG``."""
    found = read(pathlib.Path(sys.argv[1]))
    draw(found, pathlib.Path(sys.argv[2]))
    print_fits(found)


if __name__ == "__main__":
    main()
