"""Many seeds of the soak, several at a time: kept as they end, resumed, shortened where one fails."""

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
from linetrack.experiments.soak.history import draw_history
from linetrack.experiments.soak.run import RESULT_FILE, SoakResult, SoakRun, SoakVerdict

DESCRIPTORS_PER_RUN = 1000  # of this process and of each that it starts
MEMORY_PER_RUN_MB = 700
KB_PER_MB = 1024


@dataclass(frozen=True)
class Campaign:
    """Which seeds are played, and how.

    Attributes:
        seeds: the seeds.
        out: the folder of all runs.
        jobs: how many are played at a time.
        length_s: of each run; None: as the seed draws it.
        without: the numbers of troubles to leave out.
        build: the folder of the program that is played.
    """

    seeds: tuple[int, ...]
    out: Path
    jobs: int = 1
    length_s: float | None = None
    without: frozenset[int] = frozenset()
    build: Path = ROOT

    def check_machine(self) -> None:
        """Raise a FileError where the machine has no descriptors or memory for so many runs at a time."""
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptors < self.jobs * DESCRIPTORS_PER_RUN:
            needed = self.jobs * DESCRIPTORS_PER_RUN
            raise FileError("--jobs", f"{needed} descriptors are needed, {descriptors} are allowed")
        available = _available_memory_mb()
        if available < self.jobs * MEMORY_PER_RUN_MB:
            needed = self.jobs * MEMORY_PER_RUN_MB
            raise FileError("--jobs", f"{needed} MB of memory are needed, {available} MB are available")

    def play(self) -> Iterator[SoakResult]:
        """Play the seeds that have no result in the folder yet; yield each result as it is there."""
        left = []
        for seed in self.seeds:
            if (known := self._known_result(seed)) is not None:
                yield known
            else:
                left.append(seed)
        pool = ThreadPoolExecutor(self.jobs)
        try:
            futures = [pool.submit(self.play_seed, seed, self.without) for seed in left]
            for future in as_completed(futures):
                yield future.result()
        finally:
            pool.shutdown(cancel_futures=True)

    def play_seed(self, seed: int, without: frozenset[int]) -> SoakResult:
        """Play one seed, with some of its troubles left out."""
        history = draw_history(seed, self.length_s).without(without)
        return SoakRun(history, self.folder_of(seed), self.build).play()

    def folder_of(self, seed: int) -> Path:
        """The folder of a seed's run."""
        return self.out / f"seed-{seed}"

    def shorten(self, failed: SoakResult, on_tried: Callable[[int, SoakResult], None]) -> frozenset[int]:
        """Leave troubles out one at a time while the seed still fails; return which are needless."""
        without: frozenset[int] = self.without
        for number in range(draw_history(failed.seed, self.length_s).trouble_count):
            if number in without:
                continue
            result = self.play_seed(failed.seed, without | {number})
            on_tried(number, result)
            if result.verdict is SoakVerdict.BROKEN:
                without |= {number}
        return without

    def _known_result(self, seed: int) -> SoakResult | None:
        try:
            data = (self.folder_of(seed) / RESULT_FILE).read_bytes()
            return msgspec.json.decode(data, type=SoakResult)
        except (OSError, msgspec.DecodeError):
            return None


def replay_command(seed: int, length_s: float | None, without: frozenset[int] = frozenset()) -> str:
    """The command that plays a seed again, alone and the same."""
    command = f"linetrack experiment soak --seed {seed}"
    if length_s is not None:
        command += f" --length {length_s:g}"
    if without:
        command += f" --without {','.join(map(str, sorted(without)))}"
    return command


def verdicts_by_trouble(results: list[SoakResult]) -> dict[str, Counter[SoakVerdict]]:
    """How many runs with each kind of trouble held, were broken or invalid."""
    counts: dict[str, Counter[SoakVerdict]] = {}
    for result in results:
        for kind in sorted({trouble.split(" ")[0] for trouble in result.troubles}):
            counts.setdefault(kind, Counter())[result.verdict] += 1
    return counts


def _available_memory_mb() -> int:
    lines = Path("/proc/meminfo").read_text().splitlines()
    available = next(line for line in lines if line.startswith("MemAvailable"))
    return int(available.split()[1]) // KB_PER_MB
