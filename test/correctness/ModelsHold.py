#!/usr/bin/env python3
"""Checks each Promela model with Spin, and that each of its broken variants fails.

Called with the source and the build directory. A model states in comment lines
    broken: NAME            a macro that takes a guard away; the model must then fail
    pan compiler: ARGS      further arguments for the compiler of the verifier
    pan: ARGS               further arguments for the verifier, e.g. -a for claims of liveness
"""
import pathlib
import re
import subprocess
import sys
import tempfile

COMPILER_ARGUMENTS = ["-w", "-O2", "-DCOLLAPSE", "-DMEMLIM=3000", "-DVECTORSZ=4096"]
# Processes stop at the models' bounds, so an end there is no error (-E).
PAN_ARGUMENTS = ["-m1000000", "-E", "-n"]
TIME_LIMIT_SECONDS = 240


def directives(text, name):
    return re.findall(rf"^[ */]*{name}: *(.+?) *(?:\*/)?$", text, flags=re.M)


def arguments(text, name):
    return [word for line in directives(text, name) for word in line.split()]


def run(command, folder):
    result = subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=TIME_LIMIT_SECONDS)
    if result.returncode != 0:
        raise RuntimeError(f"{command[0]} failed:\n{result.stdout}{result.stderr}")
    return result.stdout


def verify(model, variant):
    """Returns errors, states and whether the search was complete."""
    text = model.read_text()
    with tempfile.TemporaryDirectory() as folder:
        macros = [f"-D{variant}"] if variant else []
        run(["spin", "-a", *macros, str(model)], folder)
        run(["cc", *COMPILER_ARGUMENTS, *arguments(text, "pan compiler"), "-o", "pan", "pan.c"], folder)
        output = run(["./pan", *PAN_ARGUMENTS, *arguments(text, "pan")], folder)
    errors = re.search(r"errors: (\d+)", output)
    states = re.search(r"(\d+) states, stored", output)
    if not errors or not states:
        raise RuntimeError(f"no result from the verifier:\n{output}")
    complete = not re.search(r"Search not completed|max search depth too small|out of memory", output)
    return int(errors.group(1)), int(states.group(1)), complete


def check(model, variant):
    errors, states, complete = verify(model, variant)
    name = f"{model.name} {variant}" if variant else model.name
    print(f"{name}: {errors} errors, {states} states stored{'' if complete else ', search not complete'}", flush=True)
    if variant:
        return errors >= 1
    return errors == 0 and complete


def main():
    models = sorted((pathlib.Path(sys.argv[1]).resolve() / "model").glob("*.pml"))
    if not models:
        print("no models found")
        return 1
    failed = []
    for model in models:
        for variant in [None, *directives(model.read_text(), "broken")]:
            if not check(model, variant):
                failed.append(f"{model.name} {variant or 'as it stands'}")
    for name in failed:
        print(f"not as required: {name}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
