#!/usr/bin/env bash
# Another writer puts one long entry into the table of workers. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
set -euo pipefail
cd "$(dirname "$0")"
export TROUBLE=${TROUBLE:-1} # 0: without the disruption.
exec ../standins-3/run-case long_entry .
