#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the outage.
here=$(dirname "$0")
exec "$here/../stand_ins/run_case.sh" "$here" case_3
