#!/bin/sh
# Fails when a name of the hosting platform stands outside platform/, so that
# the packages keep their own words.
set -eu
cd "$(dirname "$0")/.."
words='Attempt-Id|Deadline-Ms|Expect-Instance|Instance-Id|Not-Executed'
words="$words|Server-(Seal|Leaving)|rows-(get|tx|feed|parts)|blob-(put|get|drop|list)"
words="$words|LAVENDERTRACK_SETTINGS|trafficSplit|targetLatencyMs"
words="$words|warmupLeftMs|maxAttempts|apiKeys|ratePerS|timeoutMs"
words="$words|healthPath|maxConns|warmupS|warmupPerS|Warmup-Ms|allowedRegions|waitMs|hasMore|tombstone|[Tt]enant"
words="$words|internalPorts|nodeId|/lavendertrack/"
# X-Deadline-Ms is the product's own header.
if git grep -nE "(^|[^-])($words)" -- packages tools ':!tools/check-words.sh'
then
  echo 'names of the hosting platform outside platform/' >&2
  exit 1
fi
