#!/bin/sh
# Exit code: 1 rule broken, 0 rule held, 2 could not run. TROUBLE=0 runs without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -f "$root/target/junipercourse.jar" ] && [ -d "$root/review/out" ] || exit 2
cd "$root" && exec java -cp review/out review.SpoiltHead "$root" "$here/record.txt"
