#!/usr/bin/env bash
# run-case.sh FOLDER PROGRAM: runs a stand-in program of the review with the system's program, from
# the repository's root as the deploy file has it. Exits with 1 if the rule was broken, with 0 if it
# held and with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.."
system=target/bin/cranberryd-platform
case_program=review/build/$2
if [ ! -x "$system" ] || [ ! -x "$case_program" ]; then
    echo "build with the command of deploy/system.toml and with review/build.sh first" >&2
    exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout -k 2 115 "$case_program" "$system" "$work" "$folder/record.txt"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"
tail -n 1 "$folder/record.txt"
[ "$status" -le 1 ] && exit "$status"
exit 2
