#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
target/jdk/bin/javac -Xlint:all -d target/review review/*.java
