#!/usr/bin/env bash
# Regenerates the committed protobuf classes of the wire module from its schema.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
readonly VERSION=4.36.2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mvn -q -B -N dependency:copy "-Dartifact=com.google.protobuf:protoc:$VERSION:exe:linux-x86_64" \
  "-DoutputDirectory=$work" -Dmdep.useBaseVersion=true
protoc="$work/protoc-$VERSION-linux-x86_64.exe"
chmod +x "$protoc"
"$protoc" --proto_path=wire/src/main/proto --java_out=wire/src/main/java wire/src/main/proto/*.proto
