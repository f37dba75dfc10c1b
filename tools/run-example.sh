#!/bin/sh
# Starts one VM with the embedded platform, the example sheet and a stand-in
# upstream, and prints commands to try.  Ends both when interrupted.
set -eu
build=${1:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
random () { od -An -N16 -tx1 /dev/urandom | tr -d ' \n'; }

LAVENDERTRACK_OPERATOR_KEY=${LAVENDERTRACK_OPERATOR_KEY:-$(random)}
LAVENDERTRACK_KEY_HASH_SECRET=${LAVENDERTRACK_KEY_HASH_SECRET:-$(random)}
export LAVENDERTRACK_OPERATOR_KEY LAVENDERTRACK_KEY_HASH_SECRET

"$root/$build/packages/standin/standin_upstream" \
  --listen 127.0.0.1:19001 --name quotes-1 &
upstream=$!
"$root/$build/packages/node/lavendertrackd" --sheet "$root/examples/small.csv" \
  --listen 127.0.0.1:18080 --admin-listen 127.0.0.1:18081 \
  --drain-grace-ms 0 &
vm=$!
trap 'kill "$vm" "$upstream" 2>/dev/null; wait' INT TERM EXIT

tries=0
until curl -fs http://127.0.0.1:18081/readyz >/dev/null; do
  tries=$((tries + 1))
  [ "$tries" -lt 50 ] || { echo "the VM did not become ready" >&2; exit 1; }
  kill -0 "$vm" || exit 1
  sleep 0.1
done

cat <<TEXT

The VM is ready.  Try, in another terminal:

  curl -i -H 'Authorization: Bearer demo-key-1' http://127.0.0.1:18080/quotes/1
  curl -i -H 'Authorization: Bearer wrong-key' http://127.0.0.1:18080/quotes/1
  curl -i -X POST -H 'Authorization: Bearer demo-key-1' \\
    -H 'Idempotency-Key: order-1' -d '{}' http://127.0.0.1:18080/orders
  curl -s http://127.0.0.1:18081/metrics | grep refused

  export LAVENDERTRACK_OPERATOR_KEY=$LAVENDERTRACK_OPERATOR_KEY
  $build/packages/ctl/lavenderctl --admin 127.0.0.1:18081 status

Interrupt with Ctrl-C.
TEXT
if [ "${LT_RUN_ONCE:-}" = 1 ]; then
  curl -fsS -H 'Authorization: Bearer demo-key-1' \
    http://127.0.0.1:18080/quotes/1
  exit 0
fi
wait "$vm"
