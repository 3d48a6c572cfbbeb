"""Table and plot of the metrics of all bench runs."""

import collections

from metrics import quantile

POLICY_ORDER = ("first-fit", "strict", "guarantee")
COLOURS = {"first-fit": "#b35806", "strict": "#7f7f7f",
           "guarantee": "#2166ac"}
WIDTH, HEIGHT = 360, 260
LEFT, TOP, BOTTOM, RIGHT = 50, 30, 40, 10


def mean(values):
    """Returns the mean of the values that are not None, or None."""
    values = [value for value in values if value is not None]
    return sum(values) / len(values) if values else None


def pooled_ratios(runs, size):
    """Returns completion over run time of all jobs of a size."""
    return [ratio for run in runs
            for ratio in run["completion"][size]["ratios"]]


def count_state(runs, state):
    """Counts the feasible jobs in a state, without the cancelled wave."""
    return sum(run["completion"][size]["states"].get(state, 0)
               for run in runs for size in ("small", "large", "owner"))


def summary_row(user, policy, runs):
    """Returns the metrics of one user and policy over all seeds."""
    waits = [w for run in runs for w in run["guarantee"]["waits"]]
    reclaims = [w for run in runs for w in run["guarantee"]["reclaims"]]
    figures = {"user": user, "policy": policy, "runs": len(runs)}
    for size in ("small", "large"):
        ratios = pooled_ratios(runs, size)
        figures[size] = {
            "count": len(ratios), "mean": mean(ratios),
            "p50": quantile(ratios, 0.5), "p99": quantile(ratios, 0.99),
            "max": max(ratios, default=None)}
    for name in ("mean", "of_free", "while_queued",
                 "largest_block_over_free", "no_large_block", "free_mean",
                 "busy"):
        figures[f"fragmentation_{name}"] = mean(
            run["fragmentation"][name] for run in runs)
    figures.update({
        "within_guarantee": len(waits),
        "missed": sum(len(run["guarantee"]["missed"]) for run in runs),
        "owner_wait_p50_ms": quantile(waits, 0.5),
        "owner_wait_max_ms": max(waits, default=None),
        "reclaims": len(reclaims),
        "reclaim_p50_ms": quantile(reclaims, 0.5),
        "reclaim_max_ms": max(reclaims, default=None),
        "evictions": sum(run["evictions"] for run in runs),
        "done_and_run_again": sum(
            run["done_and_run_again"] for run in runs),
        "lost_evicted_s": sum(
            run["lost_accelerator_s"]["evicted"] for run in runs),
        "failed": count_state(runs, "failed"),
        "refused": count_state(runs, "refused")
        + count_state(runs, "answered_422"),
        "unfinished": sum(count_state(runs, state) for state in
                          ("queued", "placed", "running", "unanswered")),
        "cancelled": sum(run["states"].get("wave/cancelled", 0)
                         for run in runs),
        "load_average": max(run["load_average"] for run in runs),
    })
    return figures


def summarise(results):
    """Returns one row for each user and policy, in that order."""
    groups = collections.defaultdict(list)
    for result in results:
        groups[result["user"], result["policy"]].append(result)
    return [summary_row(user, policy, groups[user, policy])
            for user in sorted({user for user, _ in groups})
            for policy in POLICY_ORDER if (user, policy) in groups]


# --- Table ---

def format_number(value, digits=2):
    """Returns a figure as text, a dash if there is none."""
    return "-" if value is None else f"{value:.{digits}f}"


def table(rows):
    """Returns Markdown tables of completion, fragmentation and guarantees."""
    lines = ["| user | policy | small mean | p50 | p99 | largest "
             "| large mean | p50 | p99 | largest |",
             "|---" * 10 + "|"]
    for r in rows:
        cells = [format_number(r[size][name]) for size in ("small", "large")
                 for name in ("mean", "p50", "p99", "max")]
        lines.append(f"| {r['user']} | {r['policy']} | "
                     + " | ".join(cells) + " |")
    lines += ["", "| user | policy | fragmentation, mean | of all free "
              "| while jobs wait | largest block / free "
              "| time without a block of 16 | accelerators in use |",
              "|---" * 8 + "|"]
    for r in rows:
        cells = [format_number(r[f"fragmentation_{name}"]) for name in
                 ("mean", "of_free", "while_queued",
                  "largest_block_over_free", "no_large_block", "busy")]
        lines.append(f"| {r['user']} | {r['policy']} | "
                     + " | ".join(cells) + " |")
    lines += ["", "| user | policy | owner's jobs within guarantee | missed "
              "| wait p50 ms | max | reclaims | p50 ms | max | evictions "
              "| accelerator s lost to them | done, yet run again | failed | refused though "
              "possible | unfinished | cancelled | highest load average |",
              "|---" * 17 + "|"]
    for r in rows:
        cells = [format_number(r[name], 0) for name in (
            "within_guarantee", "missed", "owner_wait_p50_ms",
            "owner_wait_max_ms", "reclaims", "reclaim_p50_ms",
            "reclaim_max_ms", "evictions", "lost_evicted_s",
            "done_and_run_again", "failed",
            "refused", "unfinished", "cancelled", "load_average")]
        lines.append(f"| {r['user']} | {r['policy']} | "
                     + " | ".join(cells) + " |")
    return "\n".join(lines)


def goal(rows):
    """Returns a line for each part of the goal against first-fit, by user."""
    lines = []
    by_name = {(r["user"], r["policy"]): r for r in rows}
    for user in sorted({r["user"] for r in rows}):
        base = by_name.get((user, "first-fit"))
        ours = by_name.get((user, "guarantee"))
        if base is None or ours is None:
            continue
        parts = [
            ("p99 of large", ours["large"]["p99"], base["large"]["p99"], 0.5),
            ("fragmentation", ours["fragmentation_mean"],
             base["fragmentation_mean"], 0.5),
            ("p99 of small", ours["small"]["p99"], base["small"]["p99"], 1.1),
        ]
        for name, value, other, limit in parts:
            if not value or not other:
                continue
            met = "met" if value / other <= limit else "not met"
            lines.append(f"{user}: {name}: {value / other:.2f} of first-fit, "
                         f"goal {limit:.1f}: {met}")
        met = "met" if ours["missed"] == 0 else "not met"
        lines.append(f"{user}: guarantees missed: {ours['missed']} of "
                     f"{ours['within_guarantee']}: {met}")
    return "\n".join(lines)


# --- Plot ---

def svg_text(x, y, words, anchor="middle", size=11):
    """Returns an SVG text element."""
    return (f'<text x="{x:.1f}" y="{y:.1f}" font-size="{size}" '
            f'text-anchor="{anchor}">{words}</text>')


def bar_chart(x, y, title, bars):
    """Returns an SVG bar chart of (label, value, colour)."""
    top = max([value for _, value, _ in bars if value] or [1.0])
    height = HEIGHT - TOP - BOTTOM
    step = (WIDTH - LEFT - RIGHT) / max(len(bars), 1)
    base = y + TOP + height
    parts = [svg_text(x + WIDTH / 2, y + 18, title, size=13),
             f'<line x1="{x + LEFT}" y1="{base}" x2="{x + WIDTH - RIGHT}" '
             f'y2="{base}" stroke="black"/>']
    for i, (label, value, colour) in enumerate(bars):
        length = height * (value or 0) / top * 0.9
        left = x + LEFT + i * step
        parts.append(f'<rect x="{left + 4:.1f}" y="{base - length:.1f}" '
                     f'width="{step - 8:.1f}" height="{length:.1f}" '
                     f'fill="{colour}"/>')
        middle = left + step / 2
        parts.append(svg_text(middle, base - length - 4, format_number(value)))
        parts.append(svg_text(middle, base + 16, label, size=10))
    return "\n".join(parts)


def plot(rows):
    """Returns an SVG with one line of charts for each user."""
    users = sorted({r["user"] for r in rows})
    titles = [("p99 of large jobs, completion / ideal",
               lambda r: r["large"]["p99"]),
              ("p99 of small jobs, completion / ideal",
               lambda r: r["small"]["p99"]),
              ("fragmentation, time-weighted mean",
               lambda r: r["fragmentation_mean"])]
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" '
             f'width="{WIDTH * len(titles)}" height="{HEIGHT * len(users)}" '
             f'font-family="sans-serif">',
             '<rect width="100%" height="100%" fill="white"/>']
    for line, user in enumerate(users):
        chosen = [r for r in rows if r["user"] == user]
        for column, (title, figure) in enumerate(titles):
            bars = [(r["policy"], figure(r), COLOURS[r["policy"]])
                    for r in chosen]
            parts.append(bar_chart(column * WIDTH, line * HEIGHT,
                               f"{user}: {title}", bars))
    return "\n".join(parts + ["</svg>", ""])
