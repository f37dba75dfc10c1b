#!/bin/sh
# Measures one VM against a stand-in upstream on this machine, then runs the
# bench drivers of the other packages.  All processes end with the script.
set -eu
build=${1:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/$build/packages
seed=${SEED:-1}
LAVENDERTRACK_OPERATOR_KEY=bench-operator-key-0001
LAVENDERTRACK_KEY_HASH_SECRET=bench-hash-secret-00001
export LAVENDERTRACK_OPERATOR_KEY LAVENDERTRACK_KEY_HASH_SECRET

"$bin/standin/standin_upstream" --listen 127.0.0.1:19001 --name q1 >/dev/null &
upstream=$!
"$bin/node/lavendertrackd" --sheet "$root/examples/bench.csv" \
  --log-level error --drain-grace-ms 0 --upstream-connections 64 &
vm=$!
trap 'kill "$vm" "$upstream" 2>/dev/null; wait' INT TERM EXIT
tries=0
until curl -fs http://127.0.0.1:18081/readyz >/dev/null; do
  tries=$((tries + 1))
  [ "$tries" -lt 50 ] || exit 1
  sleep 0.1
done

proxy="$bin/node/node_bench_proxy --pid $vm --seed $seed"
for rate in 50 200 500 1000; do
  $proxy --mode latency --rate "$rate" --seconds 5
done
$proxy --mode saturate --count 64 --seconds 5
$proxy --mode idle --count 1000
kill "$vm" "$upstream"
wait
trap - INT TERM EXIT

for driver in "$bin"/policy/policy_bench_* "$bin"/config/config_bench_* \
  "$bin"/wire/wire_bench_*; do
  [ -x "$driver" ] || continue
  echo "== $(basename "$driver")"
  "$driver"
done
