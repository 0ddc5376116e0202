#!/usr/bin/env bash
# Runs the case; exit status: 1 broken, 0 held, 2 could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/release/platform-0.1.0.jar ] && [ -f target/review-2/Rig.class ] || { echo "build first: deploy/build, review/build-2.sh"; exit 2; }
timeout -k 5 115 java -Xmx512m -cp target/review-2 Rig LateRemoval review/10 reset
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
