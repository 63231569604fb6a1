#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start, into build/review-2. Needs the C++ compiler
# that the deploy build needs, and nothing else. The gateway itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/{6,7,8,9,10}/play.cpp; do
  [ -f "$source" ] || continue
  n=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/rig_2 "$source" -o "build/review-2/case-$n" &
  jobs="${jobs:-} $!"
done
for job in ${jobs:-}; do wait "$job"; done
