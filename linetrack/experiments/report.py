"""Renders the results of an experiment as one self-contained HTML page with plots.

The page shows the content of `results.json`; this module computes no metrics and checks no bounds.
"""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from linetrack.experiments.results import MAIN_ARM, ArmResult, Results, read_results
from linetrack.experiments.schema import METRICS

REPORT_FILE = "report.html"
STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;border-bottom:1px solid
#ddd;text-align:right} td:first-child,th:first-child{text-align:left}img{max-width:100%}
.held{color:#176b36}.not_held,.invalid{color:#a4161a}"""
FAULT_COLOR = "#a4161a"
MIN_FAULT_WIDTH_S = 0.2
PLOT_SIZE_INCHES = (9, 3.2)
MAX_PLOTTED_PERCENTILE = 99.99


def write_report(folder: Path) -> Path:
    """Write the report of the results in a folder into it, and return the path of the report.

    Raises:
        FileError: the results are missing or invalid.
    """
    path = folder / REPORT_FILE
    path.write_text(render(read_results(folder)))
    return path


def render(results: Results) -> str:
    """Return the report as HTML."""
    parts = [*_heading(results), _bounds_table(results)]
    if all(arm.runs for arm in results.arms.values()):
        parts += ["<h2>Priority weight served in time</h2>", _weight_plot(results)]
        parts += ["<h2>Latency by class</h2>", _latency_plot(results)]
        parts += ["<h2>Load by upstream</h2>", _upstreams_plot(results)]
    for name, arm in results.arms.items():
        parts += _arm_section(name, arm)
    return "\n".join(parts)


# --- Text and tables ---------------------------------------------------------------------------------------


def _heading(results: Results) -> list[str]:
    name = html.escape(results.name)
    verdict = results.verdict.value if results.verdict else "partial"
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{name}</title><style>{STYLE}</style>",
        f"<h1>{name}</h1><p>{html.escape(results.question)}</p>",
        f"<p>Verdict: <b class={verdict}>{verdict.replace('_', ' ')}</b></p>",
    ]
    if results.is_partial:
        parts.append("<p class=invalid>The experiment was stopped; only completed runs are shown.</p>")
    return parts


def _bounds_table(results: Results) -> str:
    rows = []
    for bound in results.bounds or []:
        interval = bound.found
        measured = "not measured"
        if interval is not None:
            measured = " ".join(_number(value) for value in (interval.median, interval.low, interval.high))
        verdict = "<span class=held>held</span>" if bound.held else "<span class=not_held>not held</span>"
        rows.append([html.escape(bound.metric), html.escape(bound.bound), measured, verdict])
    return _table(["figure", "bound", "median and 90 % interval", ""], rows)


def _arm_section(name: str, arm: ArmResult) -> list[str]:
    rows = [
        [
            html.escape(metric),
            _number(values.median),
            _number(values.low),
            _number(values.high),
            html.escape(METRICS[metric]),
        ]
        for metric, values in (arm.metrics or {}).items()
    ]
    table = _table(["figure", "median", "5 %", "95 %", ""], rows)
    parts = [f"<h2>Figures: {html.escape(name)}</h2>", table]
    breaches = [
        f"<li>{html.escape(rule)}: {html.escape(description)}</li>"
        for run in arm.runs
        for rule, descriptions in run.audit["named"].items()
        for description in descriptions
    ]
    if breaches:
        parts.append("<ul>" + "".join(breaches) + "</ul>")
    return parts


def _number(value: float) -> str:
    return f"{value:.4g}"


def _table(head: list[str], rows: list[list[str]]) -> str:
    lines = ["<tr>" + "".join(f"<th>{cell}</th>" for cell in head) + "</tr>"]
    lines += ["<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>" for row in rows]
    return f"<table>{''.join(lines)}</table>"


# --- Plots -------------------------------------------------------------------------------------------------


def _image(figure: Figure) -> str:
    data = io.BytesIO()
    figure.tight_layout()
    figure.savefig(data, format="png", dpi=110)
    plt.close(figure)
    return f'<img alt="" src="data:image/png;base64,{base64.b64encode(data.getvalue()).decode()}">'


def _mark_faults(axes: Axes, faults: list[dict[str, Any]]) -> None:
    for fault in faults:
        begin = fault["at_s"]
        end = begin + max(fault["for_s"], MIN_FAULT_WIDTH_S)
        axes.axvspan(begin, end, color=FAULT_COLOR, alpha=0.12, lw=0)
        axes.text(begin, 0.02, fault["kind"], rotation=90, fontsize=7, transform=axes.get_xaxis_transform())


def _weight_plot(results: Results) -> str:
    """Plot the share of priority weight served in time by second, as the median over all seeds."""
    figure, axes = plt.subplots(figsize=PLOT_SIZE_INCHES)
    for name, arm in results.arms.items():
        weights = [run.series.weight for run in arm.runs]
        percentages = [
            [
                100 * served / offered if offered else 100.0
                for served, offered in zip(weight.served, weight.offered, strict=True)
            ]
            for weight in weights
        ]
        medians = [sorted(column)[len(column) // 2] for column in zip(*percentages, strict=False)]
        axes.plot([second + 0.5 for second in range(len(medians))], medians, marker=".", label=name)
    _mark_faults(axes, results.faults)
    axes.set(xlabel="second", ylabel="priority weight in time, %", ylim=(0, 105))
    axes.legend(loc="lower right")
    return _image(figure)


def _latency_plot(results: Results) -> str:
    """Plot the latency percentiles of the first seed."""
    figure, axes = plt.subplots(figsize=PLOT_SIZE_INCHES)
    for name, arm in results.arms.items():
        for class_name, points in arm.runs[0].series.latency.items():
            x = [1 / (1 - min(percentile, MAX_PLOTTED_PERCENTILE) / 100) for percentile, _ in points]
            axes.plot(x, [value for _, value in points], marker=".", label=f"{name}: {class_name}")
    axes.set(xscale="log", yscale="log", xlabel="1 / (1 - percentile)", ylabel="latency from schedule, ms")
    axes.legend(loc="upper left", fontsize=8)
    return _image(figure)


def _upstreams_plot(results: Results) -> str:
    """Plot the attempts at each upstream by second, for the first seed."""
    loads = results.arms[MAIN_ARM].runs[0].series.upstreams
    figure, axes = plt.subplots(figsize=(9, 0.9 + 0.22 * max(4, len(loads))))
    names = sorted(loads, key=lambda name: int(name[1:]) if name[1:].isdigit() else 0)
    image = axes.imshow(
        [loads[name] for name in names], aspect="auto", cmap="viridis", interpolation="nearest"
    )
    axes.set_yticks(range(len(names)), names, fontsize=7)
    axes.set(xlabel="second")
    figure.colorbar(image, label="attempts per second")
    _mark_faults(axes, results.faults)
    return _image(figure)
