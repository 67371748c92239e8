#!/bin/sh
# Runs a case: run-case.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
CASE=$(cd "$1" && pwd)
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
PROGRAM="$ROOT/target/review-2/release/$2"
if [ ! -x "$PROGRAM" ] || [ ! -x "$ROOT/target/release/latchhaven" ]; then
    echo "not built: the build of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
WORK=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK"' EXIT
trap 'exit 2' INT TERM
export ROOT WORK
RECORD="$CASE/record.txt"
export RECORD
"$PROGRAM"
code=$?
# Anything but the three codes, such as the end by a signal, is no verdict.
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
