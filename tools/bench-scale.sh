#!/bin/sh
# Measures one VM with configurations of growing size: time to be ready,
# resident memory, added latency, and requests per core second.
set -eu
build=${1:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/$build/packages
seed=${SEED:-1}
work=$(mktemp -d)
LAVENDERTRACK_OPERATOR_KEY=bench-operator-key-0001
LAVENDERTRACK_KEY_HASH_SECRET=bench-hash-secret-00001
export LAVENDERTRACK_OPERATOR_KEY LAVENDERTRACK_KEY_HASH_SECRET
vm=
"$bin/standin/standin_upstream" --listen 127.0.0.1:19001 --name q1 \
  >/dev/null &
upstream=$!
trap 'kill $vm "$upstream" 2>/dev/null; wait; rm -rf "$work"' INT TERM EXIT

# Adds the workspace, service, upstream and route of the load to a sheet.
add_load_rows () {
  awk 'NR == 2 { n = split ($0, f, ","); f[4] += 6; $0 = f[1]
         for (i = 2; i <= n; i++) $0 = $0 "," f[i] }
       { print }' "$1"
  echo "workspace,demo"
  echo "limit,,,,demo,1000000,1000000"
  echo "key,demo-1,,,demo,,,demo-key-1"
  echo "service,quotes,,,,,,,,50"
  echo "upstream,quotes-1,,,,,,,quotes,,local,local-a,127.0.0.1:19001,64,400"
  echo "route,quotes,,,,,,,quotes,,,,,,,/quotes,GET,keyed,idempotent,no,2000,0,demo"
}

measure () {
  "$bin/config/config_generate_sheet" --routes="$1" --workspaces="$2" \
    --services="$3" --upstreams="$4" > "$work/generated.csv"
  add_load_rows "$work/generated.csv" > "$work/sheet.csv"
  start=$(date +%s%N)
  "$bin/node/lavendertrackd" --sheet "$work/sheet.csv" --log-level error \
    --drain-grace-ms 0 --upstream-connections 64 &
  vm=$!
  until curl -fs http://127.0.0.1:18081/readyz >/dev/null; do
    kill -0 "$vm" || exit 1
    sleep 0.02
  done
  ready=$(( ($(date +%s%N) - start) / 1000000 ))
  sleep 2
  rss=$(awk '/VmRSS/ { print $2 }' "/proc/$vm/status")
  peak=$(awk '/VmHWM/ { print $2 }' "/proc/$vm/status")
  cpu=$(awk '{ print $14 + $15 }' "/proc/$vm/stat")
  sleep 5
  idle=$(( $(awk '{ print $14 + $15 }' "/proc/$vm/stat") - cpu ))
  echo "routes=$1 workspaces=$2 services=$3 upstreams=$4 ready=${ready} ms" \
    "rss=${rss} KiB peak=${peak} KiB idle_cpu=${idle} ticks in 5 s"
  "$bin/node/node_bench_proxy" --pid "$vm" --seed "$seed" --mode latency \
    --rate 200 --seconds 5 | tail -n 1
  "$bin/node/node_bench_proxy" --pid "$vm" --seed "$seed" --mode saturate \
    --count 64 --seconds 3
  kill "$vm"
  wait "$vm" || true
}

measure 10 8 2 24
measure 1000 1000 100 1000
measure 10000 10000 600 10000
measure 19000 45000 1300 28000
