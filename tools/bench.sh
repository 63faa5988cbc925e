#!/usr/bin/env bash
# Measures slopes of processor time, memory and messages, and appends them to docs/MEASURES.md.
#
# Every measured process is a separate one on loopback; processor time and memory are read from
# /proc, bytes between processes from /metrics.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly address=127.0.0.1
readonly base=${BENCH_PORT_BASE:-24000}
readonly work=$(mktemp -d)
readonly seconds=${BENCH_SECONDS:-15}
readonly ticks_a_second=$(getconf CLK_TCK)
export CUMINWELL_CDS_ARCHIVE=$work/classes.jsa
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  wait 2>/dev/null
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# Starts a process in the background and leaves its id in $last.
start() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2>&1 &
  last=$!
  pids+=("$last")
}

await() {
  local try
  for ((try = 0; try < 300; try++)); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return
    sleep 0.1
  done
  echo "bench: nothing answers at $1; logs:" >&2
  tail -n 5 "$work"/*.log >&2
  exit 1
}

cpu_ms() { awk -v t="$ticks_a_second" '{print int(($14 + $15) * 1000 / t)}' "/proc/$1/stat"; }
rss_mb() { awk '/^VmRSS/ {print int($2 / 1024)}' "/proc/$1/status"; }
metric() { curl -fsS "http://$1/metrics" | awk -v n="cuminwell_$2" '$1 == n {print int($2)}'; }
row() { printf '| %s ' "$@"; echo '|'; }

start_control() {
  start control env CUMINWELL_JAVA_FLAGS="${BENCH_CONTROL_FLAGS:--Xmx512m}" dist/cuminwell control --host-id c0 \
    --http "$address:$base" --peer "$address:$((base + 1))" --control "$address:$((base + 1))" \
    --data "$work/control-$RANDOM" --voter c0 --bootstrap
  control=$last
  await "http://$address:$base/readyz"
}

start_gateway() {
  start gateway env CUMINWELL_JAVA_FLAGS="${BENCH_GATEWAY_FLAGS:--Xmx256m}" ${BENCH_GATEWAY_CPUS:-} dist/cuminwell gateway \
    --host-id g0 --region r0 --data-centre d0 --http "$address:$((base + 2))" \
    --inner "$address:$((base + 3))" --peer "$address:$((base + 4))" --control "$address:$((base + 1))"
  gateway=$last
  await "http://$address:$((base + 3))/healthz"
}

start_engine() {
  start engine env CUMINWELL_CDS_ARCHIVE="$work/standin.jsa" dist/cuminwell-standin engine \
    --listen "$address:$((base + 5))" --endpoint e0 --region r0 --data-centre d0 --serves m \
    --gateways "$address:$((base + 3))" --capacity 4096 --first-token-ms 5 --token-ms 1
}

submit() {
  curl -fsS -o /dev/null -X PUT --data-binary "@$2" "http://$address:$base/v1/tickets/$1" \
    || { echo "bench: ticket $1 was refused" >&2; exit 1; }
}

# Writes a ticket with customers of the given numbers.
customers() {
  local i separator=""
  printf '{"schema":1,"customers":{'
  for ((i = $1; i <= $2; i++)); do
    printf '%s"customer%d":{"keys":["key%d"],"tokens_per_second":1000000,"burst_tokens":1000000}' "$separator" "$i" "$i"
    separator=,
  done
  printf '}}'
}

set_up_route() {
  echo '{"schema":1,"regions":{"r0":{"data_centres":["d0"]}},"routes":{"m":{"model":"m"}}}' > "$work/route.json"
  submit 1 "$work/route.json"
  customers 1 "$1" > "$work/customers.json"
  submit 2 "$work/customers.json"
}

# Measures a process over the bench time: processor milliseconds a second, memory, bytes a second.
measure() {
  local pid=$1 ops=$2 length=${3:-$seconds} before after sent_before sent_after got_before got_after
  before=$(cpu_ms "$pid"); sent_before=$(metric "$ops" peer_sent_bytes); got_before=$(metric "$ops" peer_received_bytes)
  sleep "$length"
  after=$(cpu_ms "$pid"); sent_after=$(metric "$ops" peer_sent_bytes); got_after=$(metric "$ops" peer_received_bytes)
  measured="$(((after - before) / length)) | $(rss_mb "$pid") | $(((sent_after - sent_before) / length)) | $(((got_after - got_before) / length))"
}

gateway_by_customers() {
  local n
  echo; echo "Gateway at rest, by customers (processor ms a second, memory MB, peer bytes a second out and in):"; echo
  row customers "cpu ms/s" "rss MB" "out B/s" "in B/s"; row --- --- --- --- ---
  for n in 200 1000 2600; do
    start_control; start_gateway; set_up_route "$n"
    await "http://$address:$((base + 3))/readyz"
    sleep 5
    measure "$gateway" "$address:$((base + 3))"
    row "$n" "$measured"
    stop_all
  done
}

gateway_by_requests() {
  local rate
  echo; echo "Gateway under streamed chats of 16 tokens, by rate; 5 customers:"; echo
  row "requests/s" "cpu ms/s" "rss MB" "out B/s" "in B/s"; row --- --- --- --- ---
  start_control; start_gateway; start_engine; set_up_route 5
  await "http://$address:$((base + 3))/readyz"
  sleep 3
  for rate in 20 100 400; do
    dist/cuminwell load --entry "$address:$((base + 2))" --customer customer1=key1 --customer customer2=key2 \
      --customer customer3=key3 --customer customer4=key4 --customer customer5=key5 \
      --model m --rate "$rate" --seconds $((seconds + 20)) > "$work/load-$rate.txt" &
    local load=$!
    sleep 12
    measure "$gateway" "$address:$((base + 3))"
    row "$rate" "$measured"
    wait "$load"
  done
  echo; echo "What callers saw:"; echo; echo '```'
  for rate in 20 100 400; do echo "$rate requests/s"; cat "$work/load-$rate.txt"; done
  echo '```'
  stop_all
}

# Streamed chats sent to the engine directly and through the gateway, one after the other.
added_latency() {
  local target
  start_control; start_gateway; start_engine; set_up_route 5
  await "http://$address:$((base + 3))/readyz"
  sleep 7
  for target in 2 5 2 5; do
    echo; [ "$target" = 2 ] && echo "Through the gateway:" || echo "To the engine directly:"
    echo; echo '```'
    dist/cuminwell load --entry "$address:$((base + target))" --customer customer1=key1 --model m \
      --rate 50 --seconds "$seconds"
    echo '```'
  done
  stop_all
}

tickets_by_rate() {
  local rate i
  echo; echo "Control leader and one gateway by tickets a second, 2,600 customers:"; echo
  row "tickets/s" "of" "cpu ms/s" "rss MB" "out B/s" "in B/s"; row --- --- --- --- --- ---
  start_control; start_gateway; set_up_route 2600
  await "http://$address:$((base + 3))/readyz"
  sleep 3
  local number=100
  for rate in 1 5 20; do
    (
      for ((i = 0; i < rate * (2 * seconds + 4); i++)); do
        customers $((i % 2600 + 1)) $((i % 2600 + 1)) | sed "s/\"key[0-9]*\"/\"key$rate-$i\"/" > "$work/ticket.json"
        submit $((number + i)) "$work/ticket.json"
        sleep "$(awk -v r="$rate" 'BEGIN {print 1 / r - 0.02}')"
      done
    ) &
    local submitter=$!
    measure "$control" "$address:$base"
    row "$rate" leader "$measured"
    measure "$gateway" "$address:$((base + 3))"
    row "$rate" gateway "$measured"
    wait "$submitter"
    number=$((number + 10000))
  done
  stop_all
}

sections=("$@")
[ ${#sections[@]} -gt 0 ] || sections=(gateway_by_customers gateway_by_requests tickets_by_rate)
{
  echo; echo "## $(date -u +%Y-%m-%d), commit $(git rev-parse --short HEAD), $(nproc) cores: ${sections[*]}"
  echo; echo "\`./build bench ${sections[*]}\`, $seconds s a figure."
  for section in "${sections[@]}"; do "$section"; done
} | tee -a docs/MEASURES.md
