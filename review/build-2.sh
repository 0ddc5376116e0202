#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -Xlint:-options -d target/review-2 review/rig-2/*.java
