#!/bin/sh
# Measures VMS (4) VMs with the stand-in store and a configuration of the target
# size: time to apply it and one more change, resident memory, processor time
# without requests, and calls to the store.
set -eu
build=${1:-build}
vms=${VMS:-4}
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/$build/packages
work=$(mktemp -d)
export LAVENDERTRACK_OPERATOR_KEY=bench-operator-key-0001
export LAVENDERTRACK_KEY_HASH_SECRET=bench-hash-secret-00001
export LAVENDERTRACK_PEER_SECRET=bench-peer-secret-00001
export LAVENDERTRACK_ACCESS_KEY=bench-access-key-000001
export LAVENDERTRACK_SECRET_KEY=bench-secret-key-000001
pids=
trap 'kill $pids 2>/dev/null; wait; rm -rf "$work"' INT TERM EXIT

"$bin/standin/standin_store" --listen 127.0.0.1:19500 >/dev/null &
pids=$!
seeds=
i=1
while [ "$i" -le "$vms" ]; do
  seeds="$seeds${seeds:+,}127.0.0.1:$((19510 + i))"
  i=$((i + 1))
done
nodes=
i=1
while [ "$i" -le "$vms" ]; do
  domain=vest-a
  [ $((i % 2)) -eq 1 ] || domain=vest-b
  "$bin/node/lavendertrackd" --vm-id "vm-$i" --region vest \
    --failure-domain "$domain" --listen 127.0.0.1:$((19600 + i)) \
    --admin-listen 127.0.0.1:$((19700 + i)) \
    --peer-listen 127.0.0.1:$((19510 + i)) --seeds "$seeds" \
    --platform http --table-url http://127.0.0.1:19500 \
    --object-url http://127.0.0.1:19500/bucket --log-level error \
    --drain-grace-ms 0 &
  nodes="$nodes $!"
  pids="$pids $!"
  i=$((i + 1))
done
sleep 4

ctl="$bin/ctl/lavenderctl --admin 127.0.0.1:19701 --author bench"
memory () {
  for p in $nodes; do
    awk '/VmRSS|VmHWM/ { printf "%s %s kB  ", $1, $2 } END { print "" }' \
      "/proc/$p/status"
  done
}
ticks () {
  sum=0
  for p in $nodes; do
    sum=$((sum + $(awk '{ print $14 + $15 }' "/proc/$p/stat")))
  done
  echo "$sum"
}
timed () {
  start=$(date +%s%N)
  "$@" >"$work/out"
  echo "$(( ($(date +%s%N) - start) / 1000000 )) ms"
}

"$bin/config/config_generate_sheet" >"$work/sheet.csv"
echo "apply: $(timed $ctl apply --day any "$work/sheet.csv")"
sleep 5
memory
before=$(ticks)
sleep 10
echo "idle: $(( $(ticks) - before )) ticks of $vms VMs in 10 s"
echo "add a key: $(timed $ctl key add workspace-1 bench-key)"
sleep 3
memory
curl -s http://127.0.0.1:19500/standin/counters
echo
