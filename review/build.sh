#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review; needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/harness/*.java review/[1-9]/*.java
