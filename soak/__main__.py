"""`python -m soak`: runs the real program under seeded disturbances and reports every broken rule."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from soak.report import format_result, format_totals, write_json
from soak.run import run_seed


@click.command()
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--count", default=1, show_default=True, help="Number of consecutive seeds.")
@click.option("--seconds", default=12.0, show_default=True, help="Length of each run, in seconds.")
@click.option("--jobs", default=1, show_default=True, help="Number of parallel runs.")
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Also write the results here.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep the routers' logs in this folder.")
def main(
    first: int, count: int, seconds: float, jobs: int, json_path: Path | None, keep: Path | None
) -> None:
    """Runs COUNT seeds. Exits with 1 if a rule was broken."""
    seeds = range(first, first + count)
    with ProcessPoolExecutor(jobs) as pool:
        runs = [pool.submit(run_seed, seed, seconds, keep) for seed in seeds]
        results = []
        for run in runs:
            result = run.result()
            results.append(result)
            click.echo("\n".join(format_result(result)))
    click.echo(format_totals(results))
    if json_path is not None:
        write_json(json_path, results)
    sys.exit(any(result.violations for result in results))


if __name__ == "__main__":
    main()
