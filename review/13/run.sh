#!/usr/bin/env bash
# A worker goes down and up by turns. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -euo pipefail
cd "$(dirname "$0")"
exec ../standins-3/run-case flapping .
