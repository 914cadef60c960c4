#!/usr/bin/env bash
# Measures what one entry instance spends on control, at several sizes, with real
# processes on loopback: processor time, bytes and memory. Each row of the output is
# one run. It ends every process that it started, by id.
#   scripts/capacity.sh "WORKERS INSTANCES JOBS" ...
set -euo pipefail
cd "$(dirname "$0")/.."

base=${HF_CAPACITY_PORT:-18800}
seconds=${HF_CAPACITY_SECONDS:-10}
dir=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
finish() { code=$?; stop_all; rm -rf "$dir"; exit "$code"; }
trap finish EXIT
trap 'exit 130' INT TERM
go build -o "$dir/heatherfront" .
go build -o "$dir/stand" ./hfstand/stand
hf=$dir/heatherfront

run() { "$@" >/dev/null 2>>"$dir/log" & pids+=($!); }
metric() { # URL NAME...: the sum of the counters or gauges
  local url=$1; shift
  curl -fsS "$url/metrics" | python3 -c '
import json, sys
m = json.load(sys.stdin)
print(sum(v.get("count", v.get("value", 0)) for k, v in m.items() if any(k.startswith(n) for n in sys.argv[1:])))' "$@"
}

measure() {
  local workers=$1 instances=$2 jobs=$3
  local store=http://127.0.0.1:$((base + 1)) members=http://127.0.0.1:$((base + 2))
  run "$dir/stand" store --listen "127.0.0.1:$((base + 1))"
  run "$dir/stand" members --listen "127.0.0.1:$((base + 2))"
  for _ in $(seq 100); do curl -fsS -o /dev/null "$members/v1/members" 2>/dev/null && break; sleep 0.1; done
  run "$dir/stand" fleet --count "$workers" --listen "127.0.0.1:$((base + 200))" --domain a --accelerators 8 --members "$members"
  for i in $(seq 0 $((instances - 1))); do
    curl -fsS -H 'Content-Type: application/json' -d "{\"name\":\"e$i\",\"role\":\"instance\",\"address\":\"127.0.0.1:$((base + 100 + i))\",\"domain\":\"a\",\"region\":\"one\",\"state\":\"live\"}" "$members/v1/members"
  done
  local hash
  hash=$("$hf" hash s | awk '/^hash/ {print $2}')
  local entries=()
  for i in $(seq 0 $((instances - 1))); do
    run "$hf" serve --name "e$i" --domain a --region one --listen "127.0.0.1:$((base + 50 + i))" \
      --peer "127.0.0.1:$((base + 100 + i))" --store-url "$store" --members-url "$members" --operator-hash "$hash" --log-level error
    entries+=("http://127.0.0.1:$((base + 50 + i))")
  done
  for e in "${entries[@]}"; do
    for _ in $(seq 200); do curl -fsS -o /dev/null "$e/ready" 2>/dev/null && break; sleep 0.1; done
  done
  export HEATHERFRONT_URL=${entries[0]}
  printf 'kind: account\nname: a\nspec: {}\n---\nkind: work\nname: w\nspec: {type: job, class: normal, idempotent: true, accounts: [a]}\n---\nkind: caller\nname: c\nspec: {account: a, role: caller, hash: %s}\n' "$hash" |
    "$hf" apply --credential root:s -f - >/dev/null
  sleep 2
  local n=0
  while [ "$n" -lt "$jobs" ]; do
    if "$hf" submit --credential c:s --work w --size 1 --run 36000000 --domain a >/dev/null 2>&1; then n=$((n + 1)); else sleep 0.2; fi
  done
  sleep 6
  local cpu=0 bytes=0 peers=0 calls=0
  for e in "${entries[@]}"; do
    cpu=$((cpu - $(metric "$e" process.cpu.ms))); bytes=$((bytes - $(metric "$e" platform.bytes)))
    peers=$((peers - $(metric "$e" peer.bytes.out))); calls=$((calls - $(metric "$e" store.calls)))
  done
  sleep "$seconds"
  local peak=0 tasks=0
  for e in "${entries[@]}"; do
    cpu=$((cpu + $(metric "$e" process.cpu.ms))); bytes=$((bytes + $(metric "$e" platform.bytes)))
    peers=$((peers + $(metric "$e" peer.bytes.out))); calls=$((calls + $(metric "$e" store.calls)))
    local kb; kb=$(metric "$e" process.peak.kb); [ "$kb" -gt "$peak" ] && peak=$kb
    tasks=$(metric "$e" tasks.known)
  done
  awk -v w="$workers" -v i="$instances" -v t="$tasks" -v c="$cpu" -v b="$bytes" -v p="$peers" -v s="$seconds" -v m="$peak" -v r="$calls" 'BEGIN {
    printf "%7d %9d %6d %12.2f %14.0f %12.0f %11.1f %13.2f\n", w, i, t, c / 10 / s / i, b / s / i, p / s / i, m / 1024, r / s / i }'
  stop_all
}

printf '%7s %9s %6s %12s %14s %12s %11s %13s\n' workers instances tasks cpu%/inst platform-B/s peer-B/s peak-MB store-calls/s
for config in "$@"; do
  # shellcheck disable=SC2086
  measure $config
done
