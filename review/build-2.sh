#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[6-9]/case.cpp review/10/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "build/review-2/case-$number" "$source"
done
