#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
cd "$root" || exit 2
target/review-2/harness-3 fraction "$root" "$folder/record.txt"
result=$?
test "$result" -le 1 || result=2
exit "$result"
