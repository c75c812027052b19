"""Names of the users' platform stand in platform/ and deploy/ alone, and the folder stays small."""
import pathlib
import re
import sys

root = pathlib.Path(sys.argv[1])
NAMES = r"Cranberryquay-|Server-Limit|Server-Brittle|Server-Leaving|kv-(txn|watch|range|move|lease|keep|handle)|/v1/report|/v1/readiness|hold-take|Kv-From|gapTargetMs|trafficSplit|CRANBERRYQUAY_BOOT|op/config|op/evacuate|coldPerS\b|coldLeftMs"
MOST_PART = 0.08


def lines(folder):
    return sum(len(p.read_text().splitlines()) for p in (root / folder).rglob("*") if p.suffix in (".cpp", ".h"))


faults = []
for folder in ("src", "apps"):
    for path in sorted((root / folder).rglob("*")):
        if path.suffix not in (".cpp", ".h"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if re.search(NAMES, line):
                faults.append(f"{path.relative_to(root)}:{number}: {line.strip()}")
adapter, product = lines("platform"), lines("src")
if adapter == 0 or adapter > MOST_PART * product:
    faults.append(f"platform/ has {adapter} lines, src/ {product}")
print("\n".join(faults) or f"platform/ has {adapter} lines, src/ {product}")
sys.exit(1 if faults else 0)
