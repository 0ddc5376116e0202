#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases 11 to 15 into target/review-3. They need the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/rig-3/*.java
