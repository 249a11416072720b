"""Runs many soak seeds, several in parallel.

Each result is stored when its run ends, so that an interrupted campaign resumes.  A failing seed can be
reduced to the faults that it needs in order to fail.
"""

from __future__ import annotations

import resource
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

import msgspec

from linetrack.config.check import FileError
from linetrack.experiments.run import ROOT
from linetrack.experiments.soak.run import RESULT_FILE, SoakResult, SoakRun, SoakVerdict
from linetrack.experiments.soak.scenario import draw_scenario

# Resources that a run needs.  The descriptor limit applies to this process and to each one that it starts.
DESCRIPTORS_PER_RUN = 1000
MEMORY_PER_RUN_MB = 700
KB_PER_MB = 1024


@dataclass(frozen=True)
class Campaign:
    """The seeds to run, and how to run them.

    Attributes:
        seeds: the seeds to run.
        out: the parent folder of the runs' folders.
        jobs: the number of runs in parallel.
        length_s: the length of each run; None uses the length that the seed draws.
        without: the numbers of the faults to leave out.
        build: the folder of the build under test.
    """

    seeds: tuple[int, ...]
    out: Path
    jobs: int = 1
    length_s: float | None = None
    without: frozenset[int] = frozenset()
    build: Path = ROOT

    def check_machine(self) -> None:
        """Check that the machine has the file descriptors and memory for `jobs` parallel runs.

        Raises:
            FileError: it has too few.
        """
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptors < self.jobs * DESCRIPTORS_PER_RUN:
            needed = self.jobs * DESCRIPTORS_PER_RUN
            raise FileError("--jobs", f"requires {needed} file descriptors, but the limit is {descriptors}")
        available = _available_memory_mb()
        if available < self.jobs * MEMORY_PER_RUN_MB:
            needed = self.jobs * MEMORY_PER_RUN_MB
            raise FileError(
                "--jobs", f"requires {needed} MB of memory, but only {available} MB are available"
            )

    def run(self) -> Iterator[SoakResult]:
        """Yield the stored results; run the other seeds and yield each result as its run ends."""
        pending_seeds = []
        for seed in self.seeds:
            if (stored := self._read_stored_result(seed)) is not None:
                yield stored
            else:
                pending_seeds.append(seed)
        pool = ThreadPoolExecutor(self.jobs)
        try:
            futures = [pool.submit(self.run_seed, seed, self.without) for seed in pending_seeds]
            for future in as_completed(futures):
                yield future.result()
        finally:
            pool.shutdown(cancel_futures=True)

    def run_seed(self, seed: int, without: frozenset[int]) -> SoakResult:
        """Run one seed without the faults of these numbers."""
        scenario = draw_scenario(seed, self.length_s).without(without)
        return SoakRun(scenario, self.folder_of(seed), self.build).execute()

    def folder_of(self, seed: int) -> Path:
        """Return the folder of a seed's run."""
        return self.out / f"seed-{seed}"

    def shorten(self, failed: SoakResult, on_result: Callable[[int, SoakResult], None]) -> frozenset[int]:
        """Reduce a failing seed to the faults that it needs in order to fail.

        Faults are left out one at a time, and stay out where the run without them still breaks a rule.

        Args:
            failed: the result of the failing seed.
            on_result: called after each run with the number of the fault left out and the result.

        Returns:
            The numbers of the faults to leave out.
        """
        without: frozenset[int] = self.without
        for number in range(draw_scenario(failed.seed, self.length_s).fault_count):
            if number in without:
                continue
            result = self.run_seed(failed.seed, without | {number})
            on_result(number, result)
            if result.verdict is SoakVerdict.BROKEN:
                without |= {number}
        return without

    def _read_stored_result(self, seed: int) -> SoakResult | None:
        try:
            data = (self.folder_of(seed) / RESULT_FILE).read_bytes()
            return msgspec.json.decode(data, type=SoakResult)
        except (OSError, msgspec.DecodeError):
            return None


def replay_command(seed: int, length_s: float | None, without: frozenset[int] = frozenset()) -> str:
    """Return the command that repeats the run of one seed."""
    command = f"linetrack experiment soak --seed {seed}"
    if length_s is not None:
        command += f" --length {length_s:g}"
    if without:
        command += f" --without {','.join(map(str, sorted(without)))}"
    return command


def verdicts_by_fault_kind(results: list[SoakResult]) -> dict[str, Counter[SoakVerdict]]:
    """Count the verdicts of the runs that had each kind of fault."""
    counts: dict[str, Counter[SoakVerdict]] = {}
    for result in results:
        for kind in sorted({description.split(" ")[0] for description in result.troubles}):
            counts.setdefault(kind, Counter())[result.verdict] += 1
    return counts


def _available_memory_mb() -> int:
    lines = Path("/proc/meminfo").read_text().splitlines()
    available = next(line for line in lines if line.startswith("MemAvailable"))
    return int(available.split()[1]) // KB_PER_MB
