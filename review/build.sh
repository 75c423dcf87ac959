#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile() { g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/$1" "$2" -pthread; }
compile runner review/standin/runner.cpp
for source in review/[0-9]/case.cpp; do
    compile "case-$(basename "$(dirname "$source")")" "$source"
done
