#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the outage.
exec "$(dirname "$0")/../stand_ins/run_case.sh" "$(dirname "$0")" case_1
