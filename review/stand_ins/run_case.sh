#!/bin/sh
# Runs the test of a case: run_case.sh FOLDER PROGRAM. Starts the program from the root with the
# command `run` of the deploy file and a temporary folder, which is removed at the end.
folder=$(cd "$1" && pwd) || exit 2
review=$(cd "$folder/.." && pwd)
cd "$review/.." || exit 2
REVIEW_RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
if [ ! -x "review/bin/$2" ] || [ -z "$REVIEW_RUN" ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
REVIEW_TMP=$(mktemp -d) || exit 2
REVIEW_RECORD="$folder/record.txt"
TROUBLE=${TROUBLE:-1}
export REVIEW_RUN REVIEW_TMP REVIEW_RECORD TROUBLE
timeout -s KILL 118 "review/bin/$2"
code=$?
rm -rf "$REVIEW_TMP"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
