#!/usr/bin/env bash
# Compiles the stand-ins and cases of the second review; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
target/jdk/bin/javac -nowarn -d target/review-2 review/second/*.java
