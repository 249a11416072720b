"""Tests of schedules: shapes, key popularity, traces, and determinism by seed."""

import json
from pathlib import Path

import msgspec
import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.config.check import FileError
from linetrack.load.plan import build_schedule
from linetrack.load.schedule import ClassShare, Schedule, arrival_rates, draw_keys
from linetrack.load.schema import ArrivalProcess, Keys, Load, LoadShape, ShapeKind, Trace

SECOND = 1_000_000
CLASSES = (ClassShare("look", 3.0), ClassShare("sale", 1.0))

shapes = st.lists(
    st.builds(
        LoadShape,
        kind=st.sampled_from(list(ShapeKind)),
        rate=st.floats(0, 200),
        end_rate=st.floats(0, 400),
        start_s=st.floats(0, 5),
        duration_s=st.floats(0, 5),
    ),
    min_size=1,
    max_size=3,
)


@given(shapes, st.sampled_from(list(ArrivalProcess)), st.integers(0, 100))
def test_equal_seeds_give_equal_schedules_within_the_duration_at_the_rates_of_the_shapes(
    shapes: list[LoadShape], arrivals: ArrivalProcess, seed: int
) -> None:
    load = Load(shapes=tuple(shapes), arrivals=arrivals)
    one, two = (build_schedule(load, 8 * SECOND, CLASSES, seed, Path()) for _ in range(2))
    assert np.array_equal(one.due_at, two.due_at)
    assert np.array_equal(one.class_index, two.class_index)
    assert np.array_equal(one.key_index, two.key_index)
    assert np.all(np.diff(one.due_at) >= 0)
    assert not len(one) or (one.due_at[0] >= 0 and one.due_at[-1] < 8 * SECOND)
    expected = arrival_rates(load.shapes, 8 * SECOND).sum() / 1000
    tolerance = 1 if arrivals is ArrivalProcess.EVEN else 1 + 5 * np.sqrt(expected)
    assert abs(len(one) - expected) <= tolerance
    by_second = np.histogram(one.due_at, 8, (0, 8 * SECOND))[0]
    expected_by_second = arrival_rates(load.shapes, 8 * SECOND).reshape(8, -1).sum(axis=1) / 1000
    assert np.all(np.abs(by_second - expected_by_second) <= 2 + 6 * np.sqrt(expected_by_second))


def test_the_rates_of_a_shape_are_never_negative() -> None:
    """Steps down to a rate of 0 must not end at a rate below 0 by rounding."""
    shape = LoadShape(kind=ShapeKind.STEPS, rate=21.871445366883513, end_rate=0.0)
    assert arrival_rates((shape,), 8 * SECOND).min() >= 0


def test_arrivals_are_a_poisson_process() -> None:
    load = Load(shapes=(LoadShape(rate=500),))
    schedule = build_schedule(load, 60 * SECOND, CLASSES, 1, Path())
    gaps = np.diff(schedule.due_at)
    assert np.std(gaps) / np.mean(gaps) == pytest.approx(1, abs=0.03)
    counts = np.histogram(schedule.due_at, 600, (0, 60 * SECOND))[0]
    assert np.var(counts) / np.mean(counts) == pytest.approx(1, abs=0.2)
    assert np.mean(schedule.class_index == 0) == pytest.approx(0.75, abs=0.01)


@pytest.mark.parametrize("zipf", [0.0, 0.8, 1.2])
def test_drawn_keys_follow_the_zipf_distribution(zipf: float) -> None:
    generator = np.random.Generator(np.random.PCG64(1))
    keys = draw_keys(50, zipf, 400_000, generator)
    weights = np.arange(1, 51) ** -zipf
    assert np.allclose(np.bincount(keys, minlength=50) / len(keys), weights / weights.sum(), rtol=0.1)


def write_trace(folder: Path, rows: list[tuple[float, str, str]], kind: str) -> Trace:
    path = folder / f"t.{kind}"
    if kind == "csv":
        path.write_text("at_s,class,key\n" + "".join(f"{a},{c},{k}\n" for a, c, k in rows))
    else:
        path.write_text("".join(json.dumps({"at_s": a, "class": c, "key": k}) + "\n" for a, c, k in rows))
    return Trace(file=path.name)


@pytest.mark.parametrize("kind", ["csv", "jsonl"])
def test_an_unordered_trace_keeps_times_classes_and_keys_and_scaling_keeps_key_popularity(
    tmp_path: Path, kind: str
) -> None:
    generator = np.random.Generator(np.random.PCG64(5))
    keys = draw_keys(40, 1.0, 20_000, generator)
    rows = [
        (100 + float(t), CLASSES[n % 2][0], f"ticket-{k}")
        for n, (t, k) in enumerate(zip(generator.uniform(0, 40, 20_000), keys, strict=True))
    ]
    load = Load(trace=write_trace(tmp_path, rows, kind), keys=Keys())
    schedule = build_schedule(load, 60 * SECOND, CLASSES, 1, tmp_path)
    first_at = min(row[0] for row in rows)
    expected = sorted((int((a - first_at) * 1e6), c, k) for a, c, k in rows)
    found = [
        (int(t), CLASSES[c].name, schedule.key_name(int(k)))
        for t, c, k in zip(schedule.due_at, schedule.class_index, schedule.key_index, strict=True)
    ]
    assert len(found) == len(expected)
    assert all(abs(a[0] - b[0]) <= 1 for a, b in zip(found, expected, strict=True))
    scaled_load = with_trace(load, scale=2.5, time_compression=4.0)
    scaled = build_schedule(scaled_load, 60 * SECOND, CLASSES, 1, tmp_path)
    assert len(scaled) == pytest.approx(50_000, rel=0.02)
    assert scaled.due_at[-1] < 11 * SECOND
    assert key_shares(scaled) == pytest.approx(key_shares(schedule), rel=0.1)


def key_shares(schedule: Schedule) -> list[float]:
    counts = np.bincount(schedule.key_index, minlength=40) / len(schedule)
    return [float(counts[schedule.key_names.index(f"ticket-{n}")]) for n in range(10)]


def with_trace(load: Load, **changes: float) -> Load:
    assert load.trace is not None
    return msgspec.structs.replace(load, trace=msgspec.structs.replace(load.trace, **changes))


@pytest.mark.parametrize(
    ("text", "line", "word"),
    [
        ("at_s,class,key\n1,look,a\nx,look,b\n", 3, "at_s"),
        ("at_s,class,key\n1,look,a\n2,other,b\n", 3, "other"),
        ("at_s,class\n1,look\n", 2, "key"),
        ("at_s,class,key\n-1,look,a\n", 2, "at least 0"),
    ],
)
def test_an_error_in_a_row_names_file_and_line(tmp_path: Path, text: str, line: int, word: str) -> None:
    (tmp_path / "t.csv").write_text(text)
    with pytest.raises(FileError, match=rf"t\.csv:{line}: .*{word}"):
        build_schedule(Load(trace=Trace(file="t.csv")), SECOND, CLASSES, 1, tmp_path)
    (tmp_path / "t.jsonl").write_text('{"at_s": 1, "class": "look", "key": 1}\n{"at_s"\n')
    with pytest.raises(FileError, match=r"t\.jsonl:2: not JSON"):
        build_schedule(Load(trace=Trace(file="t.jsonl")), SECOND, CLASSES, 1, tmp_path)
