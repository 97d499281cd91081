#!/bin/sh
# Runs the case "departure" against target/portflowd and writes record.txt beside this file. Exit status: 1 the rule was broken, 0 it held, 2 the
# case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/target/portflowd" ] || { echo "target/portflowd is missing: build it with the command of deploy/system.toml"; exit 2; }
[ -x "$root/review/bin/rig" ] || "$root/review/build.sh" || exit 2
exec "$root/review/bin/rig" departure "$root" "$folder"
