"""Every sum on docs/CAPACITY.md follows from the sizes and slopes that the page states.

Rows of the tables of sizes and slopes define names: | `name` | number | ...
Rows of sums hold a formula and its result: | ... | `= formula` | result | ...
Results are compared to two significant digits.
"""
import ast
import math
import operator
import pathlib
import re
import sys

OPERATORS = {ast.Add: operator.add, ast.Sub: operator.sub, ast.Mult: operator.mul, ast.Div: operator.truediv}
TOLERANCE = 0.05


def evaluate(node, names):
    if isinstance(node, ast.Expression):
        return evaluate(node.body, names)
    if isinstance(node, ast.BinOp):
        return OPERATORS[type(node.op)](evaluate(node.left, names), evaluate(node.right, names))
    if isinstance(node, ast.Constant):
        return float(node.value)
    if isinstance(node, ast.Name):
        return names[node.id]
    raise ValueError(f"not allowed in a formula: {ast.dump(node)}")


def number(text):
    match = re.match(r"[-+]?[\d,]*\.?\d+(e[-+]?\d+)?", text.strip())
    return float(match.group().replace(",", "")) if match else math.nan


page = (pathlib.Path(sys.argv[1]) / "docs/CAPACITY.md").read_text()
names = {}
faults = []
sums = 0
for line in page.splitlines():
    cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
    if len(cells) < 2 or not line.startswith("|"):
        continue
    defined = re.fullmatch(r"`([a-z][a-z0-9_]*)`", cells[0])
    if defined and not math.isnan(number(cells[1])):
        names[defined.group(1)] = number(cells[1])
    for index, cell in enumerate(cells[:-1]):
        formula = re.fullmatch(r"`= (.+)`", cell)
        if not formula:
            continue
        sums += 1
        try:
            expected = evaluate(ast.parse(formula.group(1), mode="eval"), names)
        except (KeyError, ValueError) as error:
            faults.append(f"{cells[0]}: {formula.group(1)}: {error}")
            continue
        stated = number(cells[index + 1])
        if math.isnan(stated) or abs(stated - expected) > TOLERANCE * max(abs(expected), 1e-9):
            faults.append(f"{cells[0]}: {formula.group(1)} = {expected:.4g}, the page says {cells[index + 1]}")
if sums < 10:
    faults.append(f"only {sums} sums were found")
print("\n".join(faults) or f"{sums} sums follow from {len(names)} figures")
sys.exit(1 if faults else 0)
