#!/usr/bin/env bash
# Runs the case with the system's program, from the repository's root as the deploy file has it.
# Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run goes into record.txt.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
export TROUBLE=${TROUBLE:-1}
record=$folder/record.txt
system=target/bin/cranberryd-platform
stand_ins=review/build/leaving_runner
: > "$record"
if [ ! -x "$system" ] || [ ! -x "$stand_ins" ]; then
    echo "build with the command of deploy/system.toml and with review/build.sh first" | tee "$record" >&2
    exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# The program writes the record; its processes end with it.
timeout -k 2 115 "$stand_ins" "$system" "$work" "$record"
status=$?
[ "$status" -le 1 ] || status=2
if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/*.log "$KEEP_LOGS"; fi
echo "END TROUBLE=$TROUBLE, exit $status" >> "$record"
tail -n 2 "$record"
exit "$status"
