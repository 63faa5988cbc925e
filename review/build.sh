#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p review/kit/classes
target/jdk/bin/javac -Xlint:all -d review/kit/classes review/kit/*.java
