#!/usr/bin/env bash
# Runs this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
exec timeout -k 5 110 target/jdk/bin/java -Xmx512m -cp target/review-2 LeavingCase review/9
