"""Plays days of a deployment on several seeds with the users' bench and prints a table by day.

    .venv/bin/python trials/play_rounds.py BENCH SITE --seeds own,11,22,33,44 --jobs 3 --why "..."

BENCH is the bench's program and SITE a site file; run it in the folder of the build to measure.
Each play's whole output goes to the folder --out. Compare two builds by the tables of the same
seeds.
"""

import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean, pstdev
from typing import Annotated

import typer

STANDARD_DAYS = "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"
WORTH = re.compile(r"^worth (\S+) = ", re.MULTILINE)
PRICE = re.compile(r"^  -(-?[\d.]+)\s+-?[\d.]+ (.+)$", re.MULTILINE)
BROKEN = re.compile(r"BROKEN: (.+)")


def play(command: list[str], out: Path) -> tuple[float | None, float, str]:
    """Play one day; return its worth, the sum of its prices, and the rules that were broken."""
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    out.write_text(done.stdout + done.stderr, encoding="utf-8")
    worth = WORTH.search(done.stdout)
    prices = sum(max(0.0, float(price)) for price, _ in PRICE.findall(done.stdout))
    broken = BROKEN.search(done.stdout)
    return (float(worth[1]) if worth else None, prices, broken[1] if broken else "")


def main(
    bench: Path,
    site: Path,
    why: Annotated[str, typer.Option(help="The line for the bench's journal.")],
    days: Annotated[str, typer.Option(help="Days or day files, by commas.")] = STANDARD_DAYS,
    seeds: Annotated[str, typer.Option(help="Seeds by commas; own is the day's.")] = "own,11,22",
    jobs: Annotated[int, typer.Option(help="Plays at a time.")] = 3,
    out: Annotated[Path, typer.Option(help="Folder for the outputs.")] = Path("target/rounds"),
    vary: Annotated[bool, typer.Option(help="Vary times and figures of the days.")] = False,
) -> None:
    """Play all days on all seeds without processor time."""
    out.mkdir(parents=True, exist_ok=True)
    plays = {}
    with ThreadPoolExecutor(jobs) as pool:
        for seed in seeds.split(","):
            for day in days.split(","):
                command = [str(bench), "run", str(site), day, "--no-cpu", "--jobs", "1"]
                command += ["--why", why, *(["--vary"] if vary else [])]
                command += [] if seed == "own" else ["--seed", seed]
                path = out / f"{site.stem}-{Path(day).stem}-{seed}.txt"
                plays[day, seed] = pool.submit(play, command, path)
    typer.echo("| day | plays | worth | prices | rules broken |\n|---|---|---|---|---|")
    for day in days.split(","):
        results = [plays[day, seed].result() for seed in seeds.split(",")]
        worths = [worth for worth, _, _ in results if worth is not None]
        prices = [price for worth, price, _ in results if worth is not None]
        broken = ", ".join(rules for _, _, rules in results if rules) or "none"
        if worths:
            spread = f"{mean(worths):.3f} ± {pstdev(worths):.3f}"
            typer.echo(f"| {day} | {len(worths)} | {spread} | {mean(prices):.3f} | {broken} |")
        else:
            typer.echo(f"| {day} | 0 | no play ended | | {broken} |")


if __name__ == "__main__":
    typer.run(main)
