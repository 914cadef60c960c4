#!/usr/bin/env bash
# Measures the control overhead of an entry instance at several cluster sizes, with real
# processes on loopback and running jobs but no requests of callers: processor time, network
# bytes and store calls as means over the instances, and the largest peak memory. Each row
# of the output is one run. It ends every process that it started, by its id.
#   scripts/capacity.sh "WORKERS INSTANCES JOBS" ...
set -euo pipefail
cd "$(dirname "$0")/.."

base_port=${HF_CAPACITY_PORT:-18800}
seconds=${HF_CAPACITY_SECONDS:-10}
tmp_dir=$(mktemp -d)
pids=()
stop_processes() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
cleanup() { exit_code=$?; stop_processes; rm -rf "$tmp_dir"; exit "$exit_code"; }
trap cleanup EXIT
trap 'exit 130' INT TERM
go build -o "$tmp_dir/heatherfront" .
go build -o "$tmp_dir/stand" ./hfstand/stand
hf=$tmp_dir/heatherfront

# Runs a command in the background; its errors go to the log.
run() { "$@" >/dev/null 2>>"$tmp_dir/log" & pids+=($!); }
# Prints the sum of the counters and gauges whose names begin with one of the
# prefixes: metric URL PREFIX...
metric() {
  local url=$1; shift
  curl -fsS "$url/metrics" | python3 -c '
import json, sys
m = json.load(sys.stdin)
print(sum(v.get("count", v.get("value", 0)) for k, v in m.items() if any(k.startswith(n) for n in sys.argv[1:])))' "$@"
}

# Measures one cluster size and prints a row: measure WORKERS INSTANCES JOBS
measure() {
  local workers=$1 instances=$2 jobs=$3
  local store=http://127.0.0.1:$((base_port + 1)) members=http://127.0.0.1:$((base_port + 2))
  run "$tmp_dir/stand" store --listen "127.0.0.1:$((base_port + 1))"
  run "$tmp_dir/stand" members --listen "127.0.0.1:$((base_port + 2))"
  for _ in $(seq 100); do curl -fsS -o /dev/null "$members/v1/members" 2>/dev/null && break; sleep 0.1; done
  run "$tmp_dir/stand" fleet --count "$workers" --listen "127.0.0.1:$((base_port + 200))" --domain a --accelerators 8 --members "$members"
  for i in $(seq 0 $((instances - 1))); do
    curl -fsS -H 'Content-Type: application/json' -d "{\"name\":\"e$i\",\"role\":\"instance\",\"address\":\"127.0.0.1:$((base_port + 100 + i))\",\"domain\":\"a\",\"region\":\"one\",\"state\":\"live\"}" "$members/v1/members"
  done
  local hash
  hash=$("$hf" hash s | awk '/^hash/ {print $2}')
  local entry_urls=()
  for i in $(seq 0 $((instances - 1))); do
    run "$hf" serve --name "e$i" --domain a --region one --listen "127.0.0.1:$((base_port + 50 + i))" \
      --peer "127.0.0.1:$((base_port + 100 + i))" --store-url "$store" --members-url "$members" --operator-hash "$hash" --log-level error
    entry_urls+=("http://127.0.0.1:$((base_port + 50 + i))")
  done
  for e in "${entry_urls[@]}"; do
    for _ in $(seq 200); do curl -fsS -o /dev/null "$e/ready" 2>/dev/null && break; sleep 0.1; done
  done
  export HEATHERFRONT_URL=${entry_urls[0]}
  printf 'kind: account\nname: a\nspec: {}\n---\nkind: work\nname: w\nspec: {type: job, class: normal, idempotent: true, accounts: [a]}\n---\nkind: caller\nname: c\nspec: {account: a, role: caller, hash: %s}\n' "$hash" |
    "$hf" apply --credential root:s -f - >/dev/null
  sleep 2
  local submitted=0
  while [ "$submitted" -lt "$jobs" ]; do
    if "$hf" submit --credential c:s --work w --size 1 --run 36000000 --domain a >/dev/null 2>&1; then submitted=$((submitted + 1)); else sleep 0.2; fi
  done
  sleep 6
  local cpu_ms=0 platform_bytes=0 peer_bytes=0 store_calls=0
  for e in "${entry_urls[@]}"; do
    cpu_ms=$((cpu_ms - $(metric "$e" process.cpu.ms))); platform_bytes=$((platform_bytes - $(metric "$e" platform.bytes)))
    peer_bytes=$((peer_bytes - $(metric "$e" peer.bytes.out))); store_calls=$((store_calls - $(metric "$e" store.calls)))
  done
  sleep "$seconds"
  local peak_kb=0 tasks=0
  for e in "${entry_urls[@]}"; do
    cpu_ms=$((cpu_ms + $(metric "$e" process.cpu.ms))); platform_bytes=$((platform_bytes + $(metric "$e" platform.bytes)))
    peer_bytes=$((peer_bytes + $(metric "$e" peer.bytes.out))); store_calls=$((store_calls + $(metric "$e" store.calls)))
    local kb; kb=$(metric "$e" process.peak.kb); [ "$kb" -gt "$peak_kb" ] && peak_kb=$kb
    tasks=$(metric "$e" tasks.known)
  done
  awk -v w="$workers" -v i="$instances" -v t="$tasks" -v c="$cpu_ms" -v b="$platform_bytes" -v p="$peer_bytes" -v s="$seconds" -v m="$peak_kb" -v r="$store_calls" 'BEGIN {
    printf "%7d %9d %6d %12.2f %14.0f %12.0f %11.1f %13.2f\n", w, i, t, c / 10 / s / i, b / s / i, p / s / i, m / 1024, r / s / i }'
  stop_processes
}

printf '%7s %9s %6s %12s %14s %12s %11s %13s\n' workers instances tasks cpu%/inst platform-B/s peer-B/s peak-MB store-calls/s
for size in "$@"; do
  # shellcheck disable=SC2086
  measure $size
done
