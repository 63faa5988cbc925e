#!/usr/bin/env bash
# Runs this case; needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
exec target/jdk/bin/java -cp target/review Case evacuation . review/5
