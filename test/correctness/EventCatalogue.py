"""The catalogue of log events and the code name the same numbers and names, each once."""
import pathlib
import re
import sys

root = pathlib.Path(sys.argv[1])
code = re.findall(r'X\(\w+, (\d+), "([a-z._]+)"\)', (root / "src/base/EventId.h").read_text())
page = re.findall(r"^\| (\d+) \| ([a-z._]+) \|", (root / "docs/EVENTS.md").read_text(), re.M)

faults = []
if not code:
    faults.append("no events found in src/base/EventId.h")
for missing in sorted(set(code) - set(page)):
    faults.append(f"docs/EVENTS.md lacks {missing[0]} {missing[1]}")
for unknown in sorted(set(page) - set(code)):
    faults.append(f"docs/EVENTS.md has {unknown[0]} {unknown[1]}, which the code does not")
for rows, where in ((code, "src/base/EventId.h"), (page, "docs/EVENTS.md")):
    for column, what in ((0, "number"), (1, "name")):
        values = [row[column] for row in rows]
        faults += [f"{where}: {what} {v} stands twice" for v in sorted(set(values)) if values.count(v) > 1]
print("\n".join(faults) or f"{len(code)} events agree")
sys.exit(1 if faults else 0)
