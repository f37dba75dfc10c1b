#!/bin/sh
# Plays SEEDS fresh seeds of the fault soak, two at a time:
# tools/soak.sh [SEEDS] [FAULTS_MS] [FIRST_SEED] [BUILD]
set -eu
seeds=${1:-50}
export LT_SOAK_MS="${2:-20000}"
first=${3:-$(date +%s)}
build=${4:-build}
seq "$first" $((first + seeds - 1)) | xargs -P 2 -I{} sh -c '
  if out=$(LT_SOAK_SEED={} '"$build"'/platform/platform_test_soak \
           --gtest_filter="*/0" 2>&1); then
    echo "$out" | grep "^seed"
  else
    echo "$out" | grep -E "^seed|Failed|^  *[a-z].*: |^[a-z].*: "
    echo "seed {} failed"
  fi'
