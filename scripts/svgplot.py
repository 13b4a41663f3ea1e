"""Writes grouped bar charts as SVG files."""

from xml.sax.saxutils import escape

COLOURS = ["#33658a", "#f26419", "#86bbd8", "#758e4f", "#f6ae2d"]
WIDTH, CHART_HEIGHT, LEFT, TOP, GAP = 760, 200, 60, 46, 74
TICKS = 4


def text(x, y, content, anchor="middle", size=11):
    return (f'<text x="{x:.1f}" y="{y:.1f}" font-family="sans-serif" font-size="{size}" '
            f'text-anchor="{anchor}">{escape(str(content))}</text>')


def chart(title, groups, series, values, top):
    """One chart: values[group][series] as bars, with the bars of a group side by side."""
    highest = max([value for row in values for value in row] + [1e-9])
    parts = [text(LEFT, top - 12, title, "start", 13)]
    for tick in range(TICKS + 1):
        y = top + CHART_HEIGHT * (1 - tick / TICKS)
        parts.append(f'<line x1="{LEFT}" x2="{WIDTH - 10}" y1="{y:.1f}" y2="{y:.1f}" stroke="#ddd"/>')
        parts.append(text(LEFT - 6, y + 4, f"{highest * tick / TICKS:.3g}", "end"))
    group_width = (WIDTH - LEFT - 20) / len(groups)
    bar = group_width * 0.8 / len(series)
    for g, group in enumerate(groups):
        left = LEFT + 10 + g * group_width
        for s in range(len(series)):
            height = CHART_HEIGHT * values[g][s] / highest
            x, y = left + s * bar, top + CHART_HEIGHT - height
            parts.append(f'<rect x="{x:.1f}" y="{y:.1f}" width="{bar * 0.92:.1f}" height="{height:.1f}" '
                         f'fill="{COLOURS[s % len(COLOURS)]}"/>')
            parts.append(text(x + bar / 2, y - 3, f"{values[g][s]:.3g}", size=9))
        parts.append(text(left + group_width * 0.4, top + CHART_HEIGHT + 15, group))
    for s, name in enumerate(series):
        x, y = LEFT + 130 * s, top + CHART_HEIGHT + 24
        parts.append(f'<rect x="{x}" y="{y}" width="10" height="10" fill="{COLOURS[s % len(COLOURS)]}"/>')
        parts.append(text(x + 15, y + 9, name, "start"))
    return parts


def write(path, charts):
    """charts: a list of (title, groups, series, values)."""
    height = TOP + len(charts) * (CHART_HEIGHT + GAP)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}">',
             f'<rect width="{WIDTH}" height="{height}" fill="white"/>']
    for index, (title, groups, series, values) in enumerate(charts):
        parts += chart(title, groups, series, values, TOP + index * (CHART_HEIGHT + GAP))
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(parts + ["</svg>"]) + "\n")
