"""Prints what ``make measure`` ran, with each target's verdict."""

import pathlib
import sys

import msgspec

from godwitflow.fakes import deployment as deployment_module
from godwitflow.lab import measure
from godwitflow.lab import scenarios
from godwitflow.lab import targets

Key = tuple[str, str, int]

_decoder = msgspec.json.Decoder(measure.Row)


def plan(scenario: str, deployment: str, seeds: list[int]) -> list[str]:
    """List the runs to make, as arguments of ``measure``.

    The steady runs are always made: other targets refer to them.
    """
    names = [scenario] if scenario else list(scenarios.SCENARIOS)
    if "steady" not in names:
        names.append("steady")
    places = [deployment] if deployment else list(_deployments())
    return [
        f"{name} {place} {variant} {seed}"
        for name in sorted(names, key=_cost, reverse=True)
        for variant in measure.VARIANTS
        for place in places
        for seed in seeds
    ]


def _deployments() -> list[str]:
    return list(deployment_module.DEPLOYMENTS)


def _cost(name: str) -> float:
    """Return a rough cost, so that long runs start first."""
    found = scenarios.SCENARIOS[name]
    spans = (load.until_ms - load.from_ms for load in found.loads)
    shares = (sum(load.shares) for load in found.loads)
    return sum(span * share for span, share in zip(spans, shares, strict=True))


def load(folder: pathlib.Path) -> list[measure.Row]:
    """Read the rows that the runs have written."""
    return [
        _decoder.decode(line)
        for path in sorted(folder.glob("*.jsonl"))
        for line in path.read_bytes().splitlines()
    ]


def _group(rows: list[measure.Row]) -> dict[Key, targets.Rows]:
    grouped: dict[Key, targets.Rows] = {}
    for row in rows:
        key = (row.scenario, row.deployment, row.seed)
        place = (row.variant, row.priority)
        grouped.setdefault(key, {})[place] = row
    return grouped


def _print_row(row: measure.Row) -> None:
    refused = ",".join(
        f"{reason}={count}" for reason, count in sorted(row.refused.items())
    )
    print(
        f"  {row.variant:10} {row.priority:10} {row.offered:6} "
        f"{row.answered:6} {row.p50_ms:8.1f} {row.p99_ms:8.1f} "
        f"{row.p999_ms:8.1f} {row.within_target:6.3f} "
        f"{row.mean_coverage:7.4f} {row.complete:7.4f} "
        f"{row.extra_load_ratio:6.3f} {row.utilisation:5.2f} {refused}"
    )


def print_table(rows: list[measure.Row]) -> int:
    """Print every figure and verdict; return the targets missed."""
    missed = 0
    held = 0
    grouped = _group(rows)
    print(
        "  variant    priority   offered answered  p50_ms   p99_ms  p999_ms"
        " in_tgt coverage complete extra  util refused"
    )
    for key in sorted(grouped):
        scenario, deployment, seed = key
        print(f"{scenario} {deployment} seed {seed}")
        for row in grouped[key].values():
            _print_row(row)
        steady = grouped[("steady", deployment, seed)]
        case = targets.Case(grouped[key], steady)
        for verdict in targets.CHECKS[scenario](case):
            word = "holds " if verdict.holds else "MISSED"
            held += verdict.holds
            missed += not verdict.holds
            print(f"    {word} {verdict.text}: {verdict.measured}")
    print(f"targets: {held} hold, {missed} missed")
    return missed


def main(arguments: list[str]) -> None:
    """Plan runs, or report on a folder of them."""
    match arguments:
        case ["plan", scenario, deployment, *seeds]:
            for line in plan(scenario, deployment, [int(s) for s in seeds]):
                print(line)
        case ["table", folder]:
            print_table(load(pathlib.Path(folder)))
        case ["json", folder]:
            for row in load(pathlib.Path(folder)):
                print(msgspec.json.encode(row).decode())
        case _:
            sys.exit("usage: report plan SCENARIO DEPLOYMENT SEED... | table")


if __name__ == "__main__":
    main(sys.argv[1:])
