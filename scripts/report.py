#!/usr/bin/env python3
"""Turns the bench's journal into a page: tables and plots (SVG).

  report.py JOURNAL OUT.html

For each site: the score and the worth of each day over time, where the last
score lost credit, the prices, and the hunts.
"""
import glob
import html
import json
import os
import sys

WIDTH, HEIGHT, MARGIN = 720, 220, 36  # of a plot, in pixels
COLOURS = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#34495e"]
MAX_TABLE_ROWS = 25  # the newest entries; plots show all entries


def load_entries(folder):
    """Returns the entries in the order of time.  A file that cannot be read is
    left out and named on standard error."""
    entries = []
    for path in sorted(glob.glob(os.path.join(folder, "*.json"))):
        try:
            with open(path, encoding="utf-8") as file:
                entry = json.load(file)
            entry["at"][0], entry["cmd"], entry["days"]
            entries.append(entry)
        except (OSError, ValueError, KeyError, IndexError, TypeError) as error:
            print(f"{path}: left out: {error!r}", file=sys.stderr)
    return sorted(entries, key=lambda entry: entry["at"][0])


def worth_by_day(entry):
    return {day["name"]: day["G"] for day in entry["days"]
            if day.get("slot") and day.get("G") is not None}


def days_with_violations(entry):
    return sum(1 for day in entry["days"] if day.get("rules"))


def cell(value):
    if isinstance(value, float):
        return f"{value:.3f}"
    return html.escape(str(value))


def table(titles, rows):
    lines = ["<table><tr>" + "".join(f"<th>{html.escape(title)}</th>"
                                     for title in titles) + "</tr>"]
    lines += ["<tr>" + "".join(f"<td>{cell(value)}</td>" for value in row)
              + "</tr>" for row in rows]
    return "\n".join(lines) + "</table>"


def plot(title, series):
    """Returns an SVG.  SERIES: name -> list of values from 0 to 1, where None
    stands for an entry without a value; values outside are clipped."""
    longest = max((len(values) for values in series.values()), default=0)
    if longest == 0:
        return ""
    lines = [f'<svg width="{WIDTH}" height="{HEIGHT + 20}" role="img">'
             f"<title>{html.escape(title)}</title>"]
    for tenth in range(0, 11, 2):
        y = HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * tenth / 10
        lines.append(f'<line x1="{MARGIN}" x2="{WIDTH}" y1="{y:.1f}" '
                     f'y2="{y:.1f}" stroke="#ddd"/><text x="2" '
                     f'y="{y + 4:.1f}" font-size="11">{tenth / 10}</text>')
    step = (WIDTH - MARGIN - 10) / max(longest - 1, 1)
    for index, (name, values) in enumerate(sorted(series.items())):
        colour = COLOURS[index % len(COLOURS)]
        points = [(MARGIN + i * step,
                   HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN)
                   * min(max(value, 0.0), 1.0))
                  for i, value in enumerate(values) if value is not None]
        path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        lines.append(f'<polyline points="{path}" fill="none" '
                     f'stroke="{colour}" stroke-width="1.5"/>')
        lines += [f'<circle cx="{x:.1f}" cy="{y:.1f}" r="2" fill="{colour}"/>'
                  for x, y in points]
        lines.append(f'<text x="{MARGIN + index * 110}" y="{HEIGHT + 8}" '
                     f'font-size="11" fill="{colour}">{html.escape(name)}'
                     "</text>")
    return "\n".join(lines) + "</svg>"


def score_section(entries):
    names = sorted({name for entry in entries
                    for name in worth_by_day(entry)})
    rows = []
    for entry in entries[-MAX_TABLE_ROWS:]:
        worth = worth_by_day(entry)
        rows.append([entry["at"][0], entry["head"][:9],
                     entry["score"], days_with_violations(entry)]
                    + [worth.get(name, "") for name in names]
                    + [entry["why"] or ""])
    text = table(["time", "commit", "score", "days broken"] + names + ["why"],
                 rows)
    text += plot("score", {"score": [entry["score"] for entry in entries]})
    text += plot("worth by day", {
        name: [worth_by_day(entry).get(name) for entry in entries]
        for name in names})
    return text


def loss_section(entry):
    """Returns the worth lost by each part of each day, and the mean prices."""
    rows, prices = [], {}
    days = [day for day in entry["days"] if day.get("slot")]
    for day in days:
        rows.append([day["name"], day["G"]]
                     + [weight * (1 - value)
                        for _, weight, value in day["parts"]])
        for name, _, price in day["prices"]:
            prices[name] = prices.get(name, 0.0) + price / len(days)
    titles = ["day", "worth"] + ["lost by " + part[0]
                                 for part in days[0]["parts"]]
    sorted_prices = sorted(((price, name) for name, price in prices.items()
                            if abs(price) >= 0.0005), reverse=True)
    return (table(titles, rows) + "<h3>Prices, mean of these days</h3>"
            + table(["price", "worth"],
                    [[name, price] for price, name in sorted_prices]))


def hunt_section(entries):
    rows = []
    for entry in entries[-MAX_TABLE_ROWS:]:
        worths = [day["G"] for day in entry["days"]
                  if day.get("G") is not None]
        if worths:
            rows.append([entry["at"][0], entry["head"][:9], len(worths),
                         sum(worths) / len(worths),
                         days_with_violations(entry), entry["why"] or ""])
    return table(["time", "commit", "days", "mean worth", "days broken",
                  "why"], rows)


def page(entries):
    lines = ['<!doctype html><html lang="en"><meta charset="utf-8">'
             "<title>foxtailgap on the bench</title><style>"
             "body{font-family:sans-serif;margin:2em}"
             "td,th{border:1px solid #ccc;padding:2px 6px;font-size:13px}"
             "table{border-collapse:collapse;margin:1em 0}"
             "svg{display:block}</style><h1>foxtailgap on the bench</h1>"]
    for site in sorted({entry["site"] for entry in entries
                        if entry.get("site")}):
        site_entries = [entry for entry in entries
                        if entry.get("site") == site]
        score_entries = [entry for entry in site_entries
                         if entry["cmd"] == "score"
                         and entry["score"] is not None]
        hunt_entries = [entry for entry in site_entries
                        if entry["cmd"] == "hunt"]
        lines.append(f"<h2>{html.escape(site)}</h2>")
        if score_entries:
            lines += [score_section(score_entries),
                      "<h3>Where the credit is lost, last score</h3>",
                      loss_section(score_entries[-1])]
        if hunt_entries:
            lines += ["<h3>Hunts</h3>", hunt_section(hunt_entries)]
    return "\n".join(lines) + "</html>\n"


def main():
    if len(sys.argv) != 3:
        print("usage: report.py JOURNAL OUT.html", file=sys.stderr)
        return 2
    entries = load_entries(sys.argv[1])
    if not entries:
        print(f"{sys.argv[1]}: no entries", file=sys.stderr)
        return 1
    folder = os.path.dirname(sys.argv[2])
    if folder:
        os.makedirs(folder, exist_ok=True)
    with open(sys.argv[2], "w", encoding="utf-8") as file:
        file.write(page(entries))
    print(f"{sys.argv[2]}: {len(entries)} entries")
    return 0


if __name__ == "__main__":
    sys.exit(main())
