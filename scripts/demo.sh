#!/usr/bin/env bash
# Runs the main job on stand-ins: 3 entry instances in 3 failure domains, 4 workers
# with 32 accelerators, 3 minions, the store and the membership list, all on loopback.
# It ends every process that it started, by id, also when interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

base=${HF_DEMO_PORT:-17800}
dir=$(mktemp -d)
pids=()
finish() {
  code=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

go build -o "$dir/heatherfront" .
go build -o "$dir/stand" ./hfstand/stand
hf=$dir/heatherfront

run() {
  local log=$1
  shift
  "$@" >"$dir/$log.log" 2>&1 &
  pids+=($!)
}
wait_for() {
  for _ in $(seq 150); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 5 "$dir"/*.log >&2
  return 1
}

store=http://127.0.0.1:$((base + 1))
members=http://127.0.0.1:$((base + 2))
run store "$dir/stand" store --listen "127.0.0.1:$((base + 1))"
run members "$dir/stand" members --listen "127.0.0.1:$((base + 2))"
wait_for "$members/v1/members"

for i in 0 1 2 3; do
  run "worker$i" "$dir/stand" worker --name "worker$i" --listen "127.0.0.1:$((base + 10 + i))" \
    --domain a --region one --rack r1 --position "$i" --accelerators 8 --members "$members"
done
regions=(one two three)
domains=(a b c)
for i in 0 1 2; do
  run "minion$i" "$dir/stand" minion --name "minion$i" --listen "127.0.0.1:$((base + 20 + i))" \
    --domain "${domains[$i]}" --region "${regions[$i]}" --members "$members"
done
secret=demo-operator-secret
hash=$("$hf" hash "$secret" | awk '/^hash/ {print $2}')
for i in 0 1 2; do
  row="{\"name\":\"entry$i\",\"role\":\"instance\",\"address\":\"127.0.0.1:$((base + 40 + i))\",\"domain\":\"${domains[$i]}\",\"region\":\"${regions[$i]}\",\"state\":\"live\"}"
  curl -fsS -H 'Content-Type: application/json' -d "$row" "$members/v1/members"
done
for i in 0 1 2; do
  run "entry$i" "$hf" serve --name "entry$i" --domain "${domains[$i]}" --region "${regions[$i]}" \
    --listen "127.0.0.1:$((base + 30 + i))" --peer "127.0.0.1:$((base + 40 + i))" \
    --store-url "$store" --members-url "$members" --operator-hash "$hash" --lease 6s --poll 1s
done
for i in 0 1 2; do wait_for "http://127.0.0.1:$((base + 30 + i))/ready"; done

export HEATHERFRONT_URL=http://127.0.0.1:$((base + 30))
operator=root:$secret
caller=plant1:plant-one-secret
echo "== declare accounts, kinds of work and a caller"
"$hf" apply --credential "$operator" -f demo/accounts.yaml
hashed=$("$hf" hash plant-one-secret | awk '/^hash/ {print $2}')
applied=$(printf 'kind: caller\nname: plant1\nspec: {account: plants, role: caller, hash: %s}\n' "$hashed" |
  "$hf" apply --credential "$operator" -o json -f - | awk -F'[ ,]+' '/"revision"/ {print $3}')
echo "== wait until revision $applied is in force on every instance"
"$hf" wait --credential "$operator" --applied "$applied"

echo "== one request, from end to end"
for _ in $(seq 50); do
  if "$hf" call --credential "$caller" --data 'injection log of plant 1' lookup; then break; fi
  sleep 0.2
done
echo
echo "== a non-idempotent request, sent twice under one id: it runs once"
id=$("$hf" newid)
"$hf" call --credential "$caller" --id "$id" --data 'meter backfill' backfill && echo
HEATHERFRONT_URL=http://127.0.0.1:$((base + 31)) "$hf" call --credential "$caller" --id "$id" --data 'meter backfill' backfill && echo

echo "== a gang of 16 accelerators, from end to end"
for _ in $(seq 50); do
  if "$hf" submit --credential "$caller" --work reconcile --size 16 --run 2000 --domain a --follow; then break; fi
  sleep 0.2
done
echo "== the caller's history, and the state of the system"
"$hf" history --credential "$caller"
"$hf" system --credential "$operator"
"$hf" burn --credential "$operator"
echo "== done"
