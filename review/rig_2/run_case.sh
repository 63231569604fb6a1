#!/usr/bin/env bash
# Runs a case: run_case.sh N RECORD. Starts its program from the root, with the command `run` of the
# deploy file and a temporary folder of its own. Whatever ends this script, the program is ended, with
# it the gateways that it has started, and the folder is removed.
set -u
cd "$(dirname "$0")/../.." || exit 2
export RECORD="$2" TROUBLE="${TROUBLE:-1}"
could_not_run() {
  echo "the case could not run: $1" | tee "$RECORD" >&2
  exit 2
}
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
program=build/review-2/case-$1
[ -n "$RUN" ] || could_not_run "no command run in the deploy file"
[ -x build/paddlestile ] || could_not_run "the build of the deploy file has not been made"
[ -x "$program" ] || could_not_run "review/build-2.sh has not been run"
FOLDER=$(mktemp -d) || could_not_run "no temporary folder"
export RUN FOLDER
child=
clear_up() {
  [ -z "$child" ] || kill -KILL "$child" 2>/dev/null
  rm -rf "$FOLDER"
}
trap clear_up EXIT
trap 'exit 2' HUP INT TERM
"$program" &
child=$!
wait "$child"
code=$?
child=
[ "$code" -le 1 ] || code=2
exit "$code"
