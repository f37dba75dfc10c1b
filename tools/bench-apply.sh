#!/bin/sh
# Applies a sheet of the target size to one VM with the embedded platform and
# prints the time of check and apply and the resident memory of the daemon.
# Not run in CI; needs the ports 18080 and 18081.
set -eu
build=${1:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/$build/packages
LAVENDERTRACK_OPERATOR_KEY=bench-operator-key-0001
LAVENDERTRACK_KEY_HASH_SECRET=bench-hash-secret-00001
export LAVENDERTRACK_OPERATOR_KEY LAVENDERTRACK_KEY_HASH_SECRET
sheet=$(mktemp)
"$bin/config/config_generate_sheet" >"$sheet"
"$bin/node/lavendertrackd" --log-level error --drain-grace-ms 0 &
vm=$!
trap 'kill "$vm" 2>/dev/null; wait; rm -f "$sheet"' INT TERM EXIT
tries=0
until curl -fs http://127.0.0.1:18081/healthz >/dev/null; do
  tries=$((tries + 1))
  [ "$tries" -lt 50 ] || exit 1
  sleep 0.1
done

memory () { awk '/VmRSS|VmHWM/ { print $1, $2, $3 }' "/proc/$vm/status"; }
timed () {
  start=$(date +%s%N)
  "$@" >/dev/null || return 1
  echo "$1 $4: $((($(date +%s%N) - start) / 1000000)) ms" | sed 's|.*/||'
}
ctl="$bin/ctl/lavenderctl --admin 127.0.0.1:18081"
wc -lc <"$sheet" | awk '{ print "sheet: " $1 " lines, " $2 " bytes" }'
echo "daemon before:"; memory
timed $ctl check --day any "$sheet"
timed $ctl apply --day any "$sheet"
echo "daemon after apply:"; memory
sleep 5
echo "daemon 5 s later:"; memory
