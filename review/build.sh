#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into review/bin.
cd "$(dirname "$0")" || exit 1
mkdir -p bin
for source in */case.cpp; do
  [ -e "$source" ] || continue
  ${CXX:-c++} -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case_$(dirname "$source")" "$source" ||
    exit 1
done
