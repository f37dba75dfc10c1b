#!/bin/sh
# Builds the stand-ins of review/11 to review/15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cc; do
  name=$(basename "$source" .cc)
  ${CXX:-g++} -std=c++17 -O2 -Wall -Wextra -pthread \
    -o "target/review-3/$name" "$source"
done
