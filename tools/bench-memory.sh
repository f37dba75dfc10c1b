#!/bin/sh
# Peak memory of one VM with 1, 10, 100 and 1,000 uploads of 8 MiB, each one byte
# short.  BINARY is the daemon, LIMIT_MB its memory limit (0: no flag, for
# daemons without it), PORT the first of three ports.
#   bench-memory.sh [BUILD]
set -eu
build=${1:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/$build/packages
daemon=${BINARY:-$bin/node/lavendertrackd}
limit=${LIMIT_MB:-160}
port=${PORT:-18080}
LAVENDERTRACK_OPERATOR_KEY=bench-operator-key-0001
LAVENDERTRACK_KEY_HASH_SECRET=bench-hash-secret-00001
export LAVENDERTRACK_OPERATOR_KEY LAVENDERTRACK_KEY_HASH_SECRET
sheet=$(mktemp)
vm=
trap 'rm -f "$sheet"; [ -z "$vm" ] || kill "$vm" 2>/dev/null; wait' \
  INT TERM EXIT
sed 's/never-repeat,no,10000,65536/never-repeat,no,10000,67108864/' \
  "$root/examples/bench.csv" >"$sheet"
for count in ${COUNTS:-1 10 100 1000}; do
  set -- --listen "127.0.0.1:$port" --admin-listen "127.0.0.1:$((port + 1))" \
    --sheet "$sheet" --log-level error --drain-grace-ms 0
  [ "$limit" -eq 0 ] || set -- "$@" --memory-limit-mb "$limit"
  "$daemon" "$@" &
  vm=$!
  tries=0
  until curl -fs "http://127.0.0.1:$((port + 1))/readyz" >/dev/null; do
    tries=$((tries + 1))
    [ "$tries" -lt 50 ] || exit 1
    sleep 0.1
  done
  "$bin/node/node_bench_uploads" --proxy "127.0.0.1:$port" --pid "$vm" \
    --count "$count"
  kill -9 "$vm"
  wait "$vm" 2>/dev/null || true
  vm=
done
