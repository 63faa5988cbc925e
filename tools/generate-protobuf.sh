#!/usr/bin/env bash
# Regenerates the committed protobuf classes of the wire module from its schema.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
readonly VERSION=4.36.2
case "$(uname -m)" in
  x86_64) readonly KIND=linux-x86_64 ;;
  aarch64) readonly KIND=linux-aarch_64 ;;
  *)
    echo "generate-protobuf: no protoc for $(uname -m)" >&2
    exit 1
    ;;
esac
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mvn -q -B -N dependency:copy "-Dartifact=com.google.protobuf:protoc:$VERSION:exe:$KIND" \
  "-DoutputDirectory=$work" -Dmdep.useBaseVersion=true
protoc="$work/protoc-$VERSION-$KIND.exe"
chmod +x "$protoc"
"$protoc" --proto_path=wire/src/main/proto --java_out=wire/src/main/java wire/src/main/proto/*.proto
