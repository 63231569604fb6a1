#!/bin/sh
# Runs the test of a case: run_case.sh PROGRAM RECORD. Starts the program from the root with the
# command `run` of the deploy file and a temporary folder of its own. Whatever ends this script, the
# program is ended, with it all that it has started, and the folder is removed.
REVIEW_RECORD=$2
could_not_run() {
  echo "the case could not run: $1" | tee "$REVIEW_RECORD" >&2
  exit 2
}
cd "$(dirname "$0")/../.." || exit 2
: > "$REVIEW_RECORD" || exit 2
REVIEW_RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -n "$REVIEW_RUN" ] || could_not_run "no command run in the deploy file"
[ -x build/paddlestile ] || could_not_run "the build of the deploy file has not been made"
[ -x "review/bin/$1" ] || could_not_run "review/build.sh has not been run"
REVIEW_TMP=$(mktemp -d) || could_not_run "no temporary folder"
TROUBLE=${TROUBLE:-1}
export REVIEW_RUN REVIEW_TMP REVIEW_RECORD TROUBLE
timeout -k 2 115 "review/bin/$1" &
program=$!
trap 'kill "$program" 2>/dev/null; wait "$program"; rm -rf "$REVIEW_TMP"; exit 2' HUP INT TERM
wait "$program"
code=$?
rm -rf "$REVIEW_TMP"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
