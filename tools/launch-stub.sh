#!/bin/sh
# cuminwell: this file is a launch stub followed by a jar.
for home in "${CUMINWELL_JAVA_HOME:-}" "${JAVA_HOME:-}" /usr/lib/jvm/*25* /opt/java/*25*; do
  if [ -x "$home/bin/java" ] && [ -f "$home/release" ] \
    && grep -Eq '^JAVA_VERSION="(2[5-9]|[3-9][0-9])' "$home/release"; then
    java="$home/bin/java"
    break
  fi
done
if [ -z "${java:-}" ]; then
  echo "cuminwell: no Java 25 or later found; set CUMINWELL_JAVA_HOME to one." >&2
  exit 1
fi
archive="${CUMINWELL_CDS_ARCHIVE:-${TMPDIR:-/tmp}/$(basename "$0")-$(id -u).jsa}"
# shellcheck disable=SC2086 # The heap flags are meant to be split.
exec "$java" -XX:+AutoCreateSharedArchive "-XX:SharedArchiveFile=$archive" -Xlog:disable \
  -XX:+UseSerialGC -XX:TieredStopAtLevel=4 -Xss512k ${CUMINWELL_JAVA_FLAGS:--Xmx256m} \
  --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow \
  -jar "$0" "$@"
exit 1
