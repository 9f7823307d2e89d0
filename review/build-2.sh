#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: the store, engines and clients of one case are one program.
# It needs only the compiler that the deploy file's packages bring. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
    [ -f "review/$n/driver.cpp" ] || continue
    g++ -std=c++20 -O1 -pthread -o "target/review-2/case-$n" "review/$n/driver.cpp"
done
