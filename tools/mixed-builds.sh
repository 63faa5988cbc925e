#!/usr/bin/env bash
# Checks that two builds work on each other's data and beside each other, on loopback:
#   tools/mixed-builds.sh OLD NEW [--port-base N] [--dir DIR]
# OLD and NEW are checkouts on which ./build package has run. Needs curl. About three minutes.
set -uo pipefail

usage() {
  echo "usage: tools/mixed-builds.sh OLD NEW [--port-base N] [--dir DIR]" >&2
  exit 2
}

[ $# -ge 2 ] || usage
old=$(realpath "$1")/dist
new=$(realpath "$2")/dist
shift 2
base=8300
dir=$PWD/target/mixed-builds
while [ $# -gt 0 ]; do
  case "$1" in
    --port-base) base=${2:?--port-base needs a number}; shift ;;
    --dir) dir=${2:?--dir needs a folder}; shift ;;
    *) usage ;;
  esac
  shift
done
for build in "$old" "$new"; do
  for program in cuminwell cuminwell-standin; do
    [ -x "$build/$program" ] || { echo "mixed-builds: no $build/$program; run ./build package there" >&2; exit 2; }
  done
done

readonly address=127.0.0.1
readonly LEADER_TRIES=20
readonly STOP_SECONDS=20
declare -A pids=()
failed=0

say() { echo "mixed-builds: $*"; }
fault() { say "FAILED: $*"; failed=1; }

# Ports: callers, inner and peer of gateways at +0, +20 and +40; HTTP and peer of control hosts at
# +60 and +70; endpoints at +80.
controls=$address:$((base + 70)),$address:$((base + 71)),$address:$((base + 72))
operators=$address:$((base + 60)),$address:$((base + 61)),$address:$((base + 62))

# Starts a process with its output in a file; each build has a class archive of its own.
start() {
  local name=$1 build=$2 program=$3 label=new
  shift 3
  [ "$build" = "$old" ] && label=old
  CUMINWELL_JAVA_FLAGS=-Xmx160m CUMINWELL_CDS_ARCHIVE="$dir/$label-$program.jsa" \
    "$build/$program" "$@" >> "$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

stop() {
  local name try
  for name in "$@"; do kill -TERM "${pids[$name]}" 2>/dev/null; done
  for name in "$@"; do
    for ((try = 0; try < STOP_SECONDS * 10; try++)); do
      kill -0 "${pids[$name]}" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "${pids[$name]}" 2>/dev/null && fault "$name did not stop within $STOP_SECONDS s"
    wait "${pids[$name]}" 2>/dev/null
    unset "pids[$name]"
  done
}

stop_all() {
  trap - EXIT
  [ ${#pids[@]} -eq 0 ] || stop "${!pids[@]}"
  [ "$failed" = 0 ] && say "all checks passed"
  exit "$failed"
}
trap stop_all EXIT
trap 'failed=130; stop_all' INT TERM

control() {
  start "control-$1" "$2" cuminwell control --host-id "c$1" --http "$address:$((base + 60 + $1))" \
    --peer "$address:$((base + 70 + $1))" --control "$controls" --data "$dir/control-$1" \
    --voter c0,c1,c2 --bootstrap
}

gateway() {
  start "gateway-$1" "$2" cuminwell gateway --host-id "g$1" --region coast --data-centre dakar \
    --http "$address:$((base + $1))" --inner "$address:$((base + 20 + $1))" \
    --peer "$address:$((base + 40 + $1))" --control "$controls" --floor-slots 2 \
    --neighbour "$address:$((base + 40 + ($1 ^ 1)))" --data "$dir/gateway-$1"
}

# The engine announces itself to gateway 0 alone and the service to gateway 1 alone, so that each
# gateway learns of one of them from the other gateway.
endpoints() {
  start engine "$1" cuminwell-standin engine --listen "$address:$((base + 80))" --endpoint e0 \
    --region coast --data-centre dakar --serves brazier-chat --gateways "$address:$((base + 20))"
  start service "$1" cuminwell-standin service --listen "$address:$((base + 81))" --endpoint sacks \
    --region coast --data-centre dakar --serves sacks --gateways "$address:$((base + 21))"
}

await() {
  local what=$1 url=$2 try
  for ((try = 0; try < 300; try++)); do
    curl -fsS -o /dev/null "$url" 2>/dev/null && return
    sleep 0.1
  done
  fault "$what is not ready at $url; see $dir"
  exit
}
await_controls() { local i; for i in 0 1 2; do await "control host $i" "http://$address:$((base + 60 + i))/readyz"; done; }
await_gateways() { local i; for i in 0 1; do await "gateway $i" "http://$address:$((base + 20 + i))/readyz"; done; }

submit() {
  echo "$2" > "$dir/ticket-$1.json"
  "$new/cuminwell" ticket submit "$1" -f "$dir/ticket-$1.json" --operators "$operators" \
    > "$dir/ticket-$1.answer" 2>&1 || fault "ticket $1: $(cat "$dir/ticket-$1.answer")"
}

# Prints number and revision of each accepted ticket as one control host knows them.
tickets() { "$1/cuminwell" ticket list --operators "$address:$((base + 60 + $2))" 2>&1 | grep -oE '"number":[0-9]+,"fate":"[a-z]+","revision":[0-9]+'; }

expect_tickets() {
  local what=$1 i
  for i in 0 1 2; do
    if [ "$(tickets "$new" "$i")" = "$kept" ]; then say "$what: control host $i has every ticket"
    else fault "$what: control host $i: $(tickets "$new" "$i") instead of $kept"; fi
  done
}

# Prints the number of the control host that leads.
leader() {
  local i
  for i in 0 1 2; do
    curl -fsS "http://$address:$((base + 60 + i))/metrics" 2>/dev/null |
      grep -q '^cuminwell_agreement_leads 1' && { echo "$i"; return; }
  done
}

# Restarts leaders with the build they had until control host 0 leads.
make_leader() {
  local build=$1 try now=""
  for ((try = 0; try < LEADER_TRIES; try++)); do
    await_controls
    now=$(leader)
    [ "$now" = 0 ] && { say "control host 0 leads"; return; }
    [ -z "$now" ] && { sleep 0.5; continue; }
    stop "control-$now"
    control "$now" "$build"
  done
  fault "control host 0 did not become leader in $LEADER_TRIES tries"
}

status() { curl -s -m 20 -D "$dir/headers" -o "$dir/body" -w '%{http_code}' -H 'Authorization: Bearer mixed-key' "$@"; }
expect() {
  local what=$1 want=$2 got
  shift 2
  got=$(status "$@")
  if [ "$got" = "$want" ]; then say "$what: $got"; else fault "$what: $got instead of $want: $(cat "$dir/body")"; fi
}

# Calls through both gateways: models, a whole and a streamed chat, a plain call, a call with an
# idempotency key that is sent again at the other gateway.
calls() {
  local what=$1 i chat
  chat='"model":"brazier-chat","max_tokens":4,"messages":[{"role":"user","content":"grade?"}]'
  for i in 0 1; do
    expect "$what: models at gateway $i" 200 "http://$address:$((base + i))/v1/models"
    expect "$what: chat at gateway $i" 200 -d "{$chat}" "http://$address:$((base + i))/v1/chat/completions"
    expect "$what: streamed chat at gateway $i" 200 -d "{\"stream\":true,$chat}" "http://$address:$((base + i))/v1/chat/completions"
    grep -q 'DONE' "$dir/body" || fault "$what: the stream at gateway $i is not whole"
    expect "$what: plain call at gateway $i" 200 -d '{}' "http://$address:$((base + i))/r/sacks/reserve"
    expect "$what: keyed call at gateway $i" 200 -H "Idempotency-Key: $what-$i" -d '{}' "http://$address:$((base + i))/r/sacks/reserve"
    expect "$what: keyed call again at gateway $((i ^ 1))" 200 -H "Idempotency-Key: $what-$i" -d '{}' "http://$address:$((base + (i ^ 1)))/r/sacks/reserve"
    grep -qi 'idempotency-replayed: true' "$dir/headers" || fault "$what: the keyed call was not replayed"
  done
}

# Waits until the leader may grant shares again and endpoints have been announced.
settle() { await_gateways; sleep 8; }

rm -rf "$dir"
mkdir -p "$dir"

say "1. all processes of the old build"
for i in 0 1 2; do control "$i" "$old"; done
for i in 0 1; do gateway "$i" "$old"; done
endpoints "$old"
await_controls
submit 1 '{"schema":1,"regions":{"coast":{"data_centres":["dakar"]}}}'
submit 2 '{"schema":1,"routes":{"chat":{"model":"brazier-chat"},"sacks":{"service":"sacks"}}}'
submit 3 '{"schema":1,"customers":{"mbour":{"keys":["mixed-key"],"tokens_per_second":50000,"burst_tokens":200000}}}'
settle
calls old
kept=$(tickets "$new" 0)
say "tickets: $(echo "$kept" | tr '\n' ';')"

say "2. a gateway of the new build on the kept configuration of the old one, without control hosts"
stop gateway-0 gateway-1 control-0 control-1 control-2
gateway 0 "$new"
await "gateway 0 on its kept configuration" "http://$address:$((base + 20))/readyz"
expect "kept configuration: models" 200 "http://$address:$base/v1/models"
stop gateway-0

say "3. all processes of the new build on the old build's data"
stop engine service
for i in 0 1 2; do control "$i" "$new"; done
for i in 0 1; do gateway "$i" "$new"; done
endpoints "$new"
await_controls
expect_tickets "old data"
settle
expect "key used with the old build" 200 -H "Idempotency-Key: old-0" -d '{}' "http://$address:$base/r/sacks/reserve"
grep -qi 'idempotency-replayed: true' "$dir/headers" || fault "the old build's kept answer was not replayed"
calls new
stop gateway-0 gateway-1

say "4. old leader, new followers; gateway 0 old, gateway 1 new"
stop control-0
control 0 "$old"
make_leader "$new"
gateway 0 "$old"
gateway 1 "$new"
submit 4 '{"schema":1,"routes":{"sacks2":{"service":"sacks"}}}'
settle
kept=$(tickets "$new" 0)
expect_tickets "old leader"
calls old-leader
stop gateway-0 gateway-1

say "5. new leader, old followers; gateway 0 new, gateway 1 old"
stop control-0 control-1 control-2
control 0 "$new"
control 1 "$old"
control 2 "$old"
make_leader "$old"
gateway 0 "$new"
gateway 1 "$old"
submit 5 '{"schema":1,"routes":{"sacks3":{"service":"sacks"}}}'
settle
kept=$(tickets "$new" 0)
expect_tickets "new leader"
calls new-leader
say "tickets: $(echo "$kept" | tr '\n' ';')"
