"""Prints the figures of ``make measure`` and whether targets are met."""

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
    """Return the planned runs, as arguments of ``measure``.

    The ``steady`` runs are always included, as targets of other scenarios
    refer to them. An empty scenario or deployment means all.
    """
    names = [scenario] if scenario else list(scenarios.SCENARIOS)
    if "steady" not in names:
        names.append("steady")
    deployment_names = (
        [deployment] if deployment else list(_deployment_names())
    )
    return [
        f"{name} {deployment_name} {variant} {seed}"
        for name in sorted(names, key=_estimate_cost, reverse=True)
        for variant in measure.VARIANTS
        for deployment_name in deployment_names
        for seed in seeds
    ]


def _deployment_names() -> list[str]:
    return list(deployment_module.DEPLOYMENTS)


def _estimate_cost(name: str) -> float:
    """Estimate a scenario's run time, so that long runs start first."""
    scenario = scenarios.SCENARIOS[name]
    spans = (load.until_ms - load.from_ms for load in scenario.loads)
    shares = (sum(load.shares) for load in scenario.loads)
    return sum(span * share for span, share in zip(spans, shares, strict=True))


def load(folder: pathlib.Path) -> list[measure.Row]:
    """Read the rows of all runs in a folder."""
    return [
        _decoder.decode(line)
        for path in sorted(folder.glob("*.jsonl"))
        for line in path.read_bytes().splitlines()
    ]


def _group_rows(rows: list[measure.Row]) -> dict[Key, targets.Rows]:
    grouped: dict[Key, targets.Rows] = {}
    for row in rows:
        key = (row.scenario, row.deployment, row.seed)
        row_key = (row.variant, row.priority)
        grouped.setdefault(key, {})[row_key] = row
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
    """Print all figures and verdicts; return the targets missed."""
    missed = 0
    met = 0
    grouped = _group_rows(rows)
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
            label = "holds " if verdict.holds else "MISSED"
            met += verdict.holds
            missed += not verdict.holds
            print(f"    {label} {verdict.text}: {verdict.measured}")
    print(f"targets: {met} hold, {missed} missed")
    return missed


def main(arguments: list[str]) -> None:
    """Print the planned runs, or report on a folder of finished ones."""
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
            sys.exit(
                "usage: report plan SCENARIO DEPLOYMENT SEED..."
                " | table FOLDER | json FOLDER"
            )


if __name__ == "__main__":
    main(sys.argv[1:])
