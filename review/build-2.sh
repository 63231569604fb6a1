#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, into build/review-2. Needs the C++ compiler
# that the deploy build needs, and nothing else. The gateway itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
jobs=
for n in 6 7 8 9 10; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/rig_2 "review/$n/play.cpp" \
    -o "build/review-2/case-$n" &
  jobs="$jobs $!"
done
for job in $jobs; do wait "$job"; done
