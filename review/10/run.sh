#!/usr/bin/env bash
# Plays case 10. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin="$root/target/review-2/standin-2"
[ -x "$standin" ] && [ -x "$root/target/figwheel" ] || exit 2
exec "$standin" late-delete "$root" "$here/record.txt"
