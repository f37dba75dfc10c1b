#!/bin/sh
# Plays the case and writes record.txt.  Exits with 1 if the rule was broken,
# with 0 if it held and with 2 if the case could not run.  TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case-5 ] && [ -x target/packages/node/lavendertrackd ] || {
  echo "build the project by its deploy file and run review/build.sh first" >&2
  exit 2
}
exec review/bin/case-5 review/5
