#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the compiler and the libraries of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in runner leave late handover; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/standin-3/$program.cpp" -o "target/review-3/$program" &
    builds+=($!)
done
for build in "${builds[@]}"; do wait "$build"; done
