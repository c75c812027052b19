"""The callers' page and the table of error kinds name the same kinds with the same statuses."""
import pathlib
import re
import sys

root = pathlib.Path(sys.argv[1])
table = (root / "src/base/ErrorKind.cpp").read_text()
code = dict(re.findall(r'ErrorKind::\w+,\s*"([a-z_]+)",\s*(\d+)', table))
page = {}
for kinds, statuses in re.findall(r"^\| (`[a-z_`, ]+`) \| ([\d, ]+) \|", (root / "docs/CALLERS.md").read_text(), re.M):
    names = re.findall(r"`([a-z_]+)`", kinds)
    numbers = [s.strip() for s in statuses.split(",")]
    for index, name in enumerate(names):
        page[name] = numbers[min(index, len(numbers) - 1)]

faults = [f"docs/CALLERS.md lacks {kind}" for kind in code if kind not in page]
faults += [f"docs/CALLERS.md has {kind}, which the code does not" for kind in page if kind not in code]
faults += [f"{kind}: {code[kind]} in the code, {page[kind]} on the page" for kind in code if page.get(kind, code[kind]) != code[kind]]
if len(code) < 20:
    faults.append("the table of error kinds was not read")
print("\n".join(faults) or f"{len(code)} kinds agree")
sys.exit(1 if faults else 0)
