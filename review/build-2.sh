#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10, after the users' build has put the daemon into target/.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p build
flags="-std=c++20 -O2 -Wall -Wextra -pthread"
shared="record http store fleet fleet_machines deployment"
cases="held_start other_writer upkeep_after_move crash_loop gang_on_one_worker renamed_route"
for source in $shared $cases; do
    g++ $flags -c -o "build/$source.o" "$source.cpp" &
done
for _ in $shared $cases; do wait -n; done
for case in $cases; do
    objects=""
    for source in $shared $case; do objects="$objects build/$source.o"; done
    g++ -pthread -o "build/$case" $objects
done
