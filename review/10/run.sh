#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same
# without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
site="$root/review/standin-2/bin/site"
[ -x "$site" ] && [ -x "$root/target/bin/cranberryd-platform" ] || exit 2
"$site" settings-change "$here" "$root"
status=$?
[ $status -le 1 ] || status=2
exit $status
