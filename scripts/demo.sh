#!/usr/bin/env bash
# Runs the demo on loopback: 3 entry instances in 3 failure domains against fakes of
# the platform (4 workers with 8 accelerators each, 3 minions, the store and the
# membership list). It runs requests and a gang job from end to end. On exit, also when
# interrupted, it ends every process that it started, by its id.
set -euo pipefail
cd "$(dirname "$0")/.."

base_port=${HF_DEMO_PORT:-17800}
tmp_dir=$(mktemp -d)
pids=()
cleanup() {
  exit_code=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$tmp_dir"
  exit "$exit_code"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

go build -o "$tmp_dir/heatherfront" .
go build -o "$tmp_dir/stand" ./hfstand/stand
hf=$tmp_dir/heatherfront

# Runs a command in the background: run NAME COMMAND... Its output goes to NAME.log.
run() {
  local name=$1
  shift
  "$@" >"$tmp_dir/$name.log" 2>&1 &
  pids+=($!)
}
# Waits until a URL answers, for up to 15 seconds.
wait_for() {
  for _ in $(seq 150); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 5 "$tmp_dir"/*.log >&2
  return 1
}

store=http://127.0.0.1:$((base_port + 1))
members=http://127.0.0.1:$((base_port + 2))
run store "$tmp_dir/stand" store --listen "127.0.0.1:$((base_port + 1))"
run members "$tmp_dir/stand" members --listen "127.0.0.1:$((base_port + 2))"
wait_for "$members/v1/members"

for i in 0 1 2 3; do
  run "worker$i" "$tmp_dir/stand" worker --name "worker$i" --listen "127.0.0.1:$((base_port + 10 + i))" \
    --domain a --region one --rack r1 --position "$i" --accelerators 8 --members "$members"
done
regions=(one two three)
domains=(a b c)
for i in 0 1 2; do
  run "minion$i" "$tmp_dir/stand" minion --name "minion$i" --listen "127.0.0.1:$((base_port + 20 + i))" \
    --domain "${domains[$i]}" --region "${regions[$i]}" --members "$members"
done
secret=demo-operator-secret
hash=$("$hf" hash "$secret" | awk '/^hash/ {print $2}')
for i in 0 1 2; do
  member="{\"name\":\"entry$i\",\"role\":\"instance\",\"address\":\"127.0.0.1:$((base_port + 40 + i))\",\"domain\":\"${domains[$i]}\",\"region\":\"${regions[$i]}\",\"state\":\"live\"}"
  curl -fsS -H 'Content-Type: application/json' -d "$member" "$members/v1/members"
done
for i in 0 1 2; do
  run "entry$i" "$hf" serve --name "entry$i" --domain "${domains[$i]}" --region "${regions[$i]}" \
    --listen "127.0.0.1:$((base_port + 30 + i))" --peer "127.0.0.1:$((base_port + 40 + i))" \
    --store-url "$store" --members-url "$members" --operator-hash "$hash" --lease 6s --poll 1s
done
for i in 0 1 2; do wait_for "http://127.0.0.1:$((base_port + 30 + i))/ready"; done

export HEATHERFRONT_URL=http://127.0.0.1:$((base_port + 30))
operator_credential=root:$secret
caller_credential=plant1:plant-one-secret
echo "== declare accounts, kinds of work and a caller"
"$hf" apply --credential "$operator_credential" -f demo/accounts.yaml
caller_hash=$("$hf" hash plant-one-secret | awk '/^hash/ {print $2}')
revision=$(printf 'kind: caller\nname: plant1\nspec: {account: plants, role: caller, hash: %s}\n' "$caller_hash" |
  "$hf" apply --credential "$operator_credential" -o json -f - | awk -F'[ ,]+' '/"revision"/ {print $3}')
echo "== wait until every instance has applied revision $revision"
"$hf" wait --credential "$operator_credential" --applied "$revision"

echo "== one request, from end to end"
for _ in $(seq 50); do
  if "$hf" call --credential "$caller_credential" --data 'injection log of plant 1' lookup; then break; fi
  sleep 0.2
done
echo
echo "== a non-idempotent request, sent twice with one id: it runs once"
id=$("$hf" newid)
"$hf" call --credential "$caller_credential" --id "$id" --data 'meter backfill' backfill && echo
HEATHERFRONT_URL=http://127.0.0.1:$((base_port + 31)) "$hf" call --credential "$caller_credential" --id "$id" --data 'meter backfill' backfill && echo

echo "== a gang of 16 accelerators, from end to end"
for _ in $(seq 50); do
  if "$hf" submit --credential "$caller_credential" --work reconcile --size 16 --run 2000 --domain a --follow; then break; fi
  sleep 0.2
done
echo "== the caller's job history and the state of the system"
"$hf" history --credential "$caller_credential"
"$hf" system --credential "$operator_credential"
"$hf" burn --credential "$operator_credential"
echo "== done"
