"""Plays days with each mechanism switched off by itself, and prints what each one is worth.

    .venv/bin/python trials/play_ablations.py play BENCH SITE --days quiet-1,trouble-1 \
        --seeds own,11 --copies ../ablations --jobs 4
    .venv/bin/python trials/play_ablations.py table journal/*.json

`play` makes a copy of the repository for each mechanism and switches it off in the copy's settings
template. The plays' entries in the journals of the copies are then copied to the own journal.
`table` reads journal entries and needs no bench.
"""

import json
import shutil
import subprocess
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean, stdev
from typing import Annotated

import typer

from pumicedeck.gateway_settings import MechanismSettings

ALL = "all"
PREFIX = "ablation of "
TEMPLATE = Path("deploy/settings.yaml")

app = typer.Typer()


def make_copy(folder: Path, mechanism: str) -> None:
    """Clone the repository and switch a mechanism off in the clone."""
    if folder.exists():
        return
    subprocess.run(["git", "clone", "-q", ".", str(folder)], check=True)
    if Path("target").exists():
        shutil.copytree("target", folder / "target")
    if mechanism != ALL:
        with (folder / TEMPLATE).open("a", encoding="utf-8") as template:
            template.write(f"mechanisms:\n  {mechanism}: false\n")


def play(bench: Path, site: Path, day: str, seed: str, folder: Path, why: str) -> None:
    """Play one day in a copy without processor time."""
    command = [str(bench.resolve()), "run", str(site.resolve()), day, "--no-cpu", "--jobs", "1"]
    command += ["--why", why, *([] if seed == "own" else ["--seed", seed])]
    subprocess.run(command, cwd=folder, capture_output=True, check=False)


@app.command("play")
def play_all(
    bench: Path,
    site: Path,
    days: Annotated[str, typer.Option(help="Days by commas.")],
    seeds: Annotated[str, typer.Option(help="Seeds by commas; own is the day's.")] = "own",
    label: Annotated[str, typer.Option(help="The round, which begins each journal line.")] = "1",
    copies: Annotated[Path, typer.Option(help="Folder for the copies.")] = Path("../ablations"),
    jobs: Annotated[int, typer.Option(help="Plays at a time.")] = 4,
) -> None:
    """Play all days on all seeds, first with all mechanisms, then without each one."""
    copies.mkdir(parents=True, exist_ok=True)
    mechanisms = [ALL, *MechanismSettings.model_fields]
    for mechanism in mechanisms:
        make_copy(copies / mechanism, mechanism)
    with ThreadPoolExecutor(jobs) as pool:
        for mechanism in mechanisms:
            why = f"{PREFIX}{label}: {mechanism}"
            for day in days.split(","):
                for seed in seeds.split(","):
                    pool.submit(play, bench, site, day, seed, copies / mechanism, why)
    collect(copies)


def collect(copies: Path) -> None:
    """Copy the journal entries of all copies to the own journal."""
    for entry in sorted(copies.glob("*/journal/*.json")):
        target = Path("journal") / entry.name
        if not target.exists():
            shutil.copy(entry, target)


@app.command()
def table(entries: list[Path], label: str = "1") -> None:
    """Print what switching off each mechanism changes, in worth, by site."""
    worths: dict[str, dict[tuple[str, str, int], float]] = defaultdict(dict)
    for path in entries:
        document = json.loads(path.read_text(encoding="utf-8"))
        round_label, _, mechanism = document["why"].removeprefix(PREFIX).partition(": ")
        if not document["why"].startswith(PREFIX) or round_label != label:
            continue
        for day in document["days"]:
            worths[mechanism][document["site"], day["name"], day["seed"]] = day["G"]
    baseline = worths.pop(ALL)
    sites = sorted({site for site, _, _ in baseline})
    typer.echo("| switched off | " + " | ".join(sites) + " | all plays |")
    typer.echo("|---|" + "---|" * (len(sites) + 1))
    for mechanism in MechanismSettings.model_fields:
        plays = worths[mechanism]
        cells = [summarize(plays, baseline, {site}) for site in sites]
        cells.append(summarize(plays, baseline, set(sites)))
        typer.echo(f"| `{mechanism}` | " + " | ".join(cells) + " |")
    for site in sites:
        values = [worth for key, worth in baseline.items() if key[0] == site]
        typer.echo(f"{site}: {len(values)} plays with all mechanisms, mean {mean(values):.3f}")


def summarize(plays: dict, baseline: dict, sites: set[str]) -> str:
    """Return the mean difference to the same days and seeds with all mechanisms on.

    The value after ± is the standard error of the mean, the number in brackets that of the plays.
    """
    differences = [
        worth - baseline[key] for key, worth in plays.items() if key[0] in sites and key in baseline
    ]
    if not differences:
        return "not played"
    error = stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0.0
    return f"{mean(differences):+.3f} ± {error:.3f} ({len(differences)})"


if __name__ == "__main__":
    app()
