#!/bin/sh
# Runs the commands of README.md, "Your first change in five minutes", and the
# curl commands that `make run` prints, against a VM that tools/run-example.sh
# starts.  Ends with status 1 at the first command that fails.  Not run in CI:
# it needs the ports 18080, 18081 and 19001.
set -eu
build=${1:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
work=$(mktemp -d)
sh tools/run-example.sh "$build" >"$work/run.log" 2>"$work/run.err" &
runner=$!
trap 'kill "$runner" 2>/dev/null; wait; rm -rf "$work" today.csv' INT TERM EXIT
tries=0
until grep -q 'Interrupt with' "$work/run.log"; do
  tries=$((tries + 1))
  [ "$tries" -lt 100 ] || { cat "$work/run.err"; exit 1; }
  sleep 0.1
done

# The block of indented lines after the heading.
awk '/^## Your first change/ { on = 1; next } /^## / { on = 0 }
     on && /^    / { print substr($0, 5) }' README.md >"$work/readme"
# What `make run` prints, continued lines joined.
awk '/^  / { print substr($0, 3) }' "$work/run.log" >"$work/printed"
[ "$(wc -l <"$work/readme")" -ge 6 ] || { echo "no commands found"; exit 1; }
[ "$(grep -c curl "$work/printed")" -ge 4 ] || { echo "no curl found"; exit 1; }
grep '^export ' "$work/printed" >"$work/script"
sed "s|build/packages|$build/packages|" "$work/readme" >>"$work/script"
# The request with a wrong key must be refused; all others must succeed.
sed 's/^  *//; s/^curl -/curl -f -/' "$work/printed" | grep -v '^export ' \
  | sed 's/^\(curl.*wrong-key.*\)$/if \1; then exit 1; fi/' >>"$work/script"
sh -eux "$work/script"
echo "all commands of the README succeeded"
