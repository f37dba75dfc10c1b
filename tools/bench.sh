#!/bin/sh
# Measures one VM against a stand-in upstream on this machine, then runs the
# other bench drivers, one at a time.  All processes end with the script.
# SEED is the seed (1); BENCH_TIMEOUT bounds each driver in seconds (120).
# Drivers that fail or run out of time are named at the end.
set -eu
build=${1:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/$build/packages
seed=${SEED:-1}
limit=${BENCH_TIMEOUT:-120}
failed=
LAVENDERTRACK_OPERATOR_KEY=bench-operator-key-0001
LAVENDERTRACK_KEY_HASH_SECRET=bench-hash-secret-00001
export LAVENDERTRACK_OPERATOR_KEY LAVENDERTRACK_KEY_HASH_SECRET

# Processes can share these ports, and would then share the measured requests.
for port in 18080 18081 19001; do
  status=0
  curl -s --max-time 2 -o /dev/null "http://127.0.0.1:$port/" || status=$?
  [ "$status" -eq 7 ] || {
    echo "port $port is in use" >&2
    exit 1
  }
done

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

proxy="timeout $limit $bin/node/node_bench_proxy --pid $vm --seed $seed"
for rate in 50 200 500 1000; do
  $proxy --mode latency --rate "$rate" --seconds 5 \
    || failed="$failed node_bench_proxy:$rate/s"
done
$proxy --mode saturate --count 64 --seconds 5 \
  || failed="$failed node_bench_proxy:saturate"
$proxy --mode idle --count 1000 || failed="$failed node_bench_proxy:idle"
kill "$vm" "$upstream"
wait
trap - INT TERM EXIT

# Runs one driver with its arguments.
run () {
  name=$1
  shift
  echo "== $name $*"
  timeout "$limit" "$bin/${name%%_*}/$name" "$@" || {
    echo "== $name ended with status $?"
    failed="$failed $name"
  }
}

# The sources name the drivers, so that a driver that is not built is noticed
# and one that was removed from the sources is not run from an old build.
for source in "$root"/packages/*/bench/bench_*.c; do
  package=$(basename "$(dirname "$(dirname "$source")")")
  name=${package}_$(basename "$source" .c)
  case $name in
  node_bench_proxy) ;; # Run above.
  node_bench_membership) run "$name" "$seed" 1 500 ;;
  config_bench_config | wire_bench_wire) run "$name" ;;
  policy_bench_balance)
    for scenario in even skew short; do
      run "$name" kovacic-quotes 60 "$scenario" "$seed" 6 60
    done ;;
  policy_bench_claim_batch)
    for claims in 4 20 100 500; do
      run "$name" "$seed" "$claims" 25 0.01
    done ;;
  policy_bench_cost)
    for use in 70 90; do
      run "$name" "$seed" 30 "$use" 60
    done
    run "$name" "$seed" 0 0 0 ;;
  policy_bench_freshness) run "$name" "$seed" 1 ;;
  policy_bench_health)
    for scenario in fail-100 fail-5 slow-10 dead-domain; do
      run "$name" kovacic-quotes "$scenario" "$seed" 5 60
    done
    run "$name" kovacic-quotes healthy "$seed" 2 900 ;;
  *) run "$name" "$seed" ;;
  esac
done
[ -z "$failed" ] || {
  echo "drivers that failed or were stopped after $limit s:$failed" >&2
  exit 1
}
