#!/bin/sh
# Plays case 10. Exit status: 1 the rule is broken, 0 it holds, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x build/review-2/case-10 ] || exit 2
exec build/review-2/case-10 "$folder"
