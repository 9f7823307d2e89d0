#!/bin/sh
# Builds the stand-ins of the cases, one program a case, into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/scenario.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/case-$number" "$source" -pthread
done
