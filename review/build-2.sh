#!/bin/sh
# Builds the stand-ins and the scripts' programs of the second review into
# target/review-2/.  Run it in the repository, after the build of the deploy
# file.  Needs a C compiler and jansson, as the project's own build does.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Ireview/standin-2"
for source in review/6/play.c review/7/play.c review/8/play.c \
  review/9/play.c review/10/play.c; do
  test -f "$source" || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  ${CC:-cc} $flags -o "$out/case-$number" "$source" review/standin-2/stand.c \
    -ljansson -lpthread
done
