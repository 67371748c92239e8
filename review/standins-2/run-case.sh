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
RECORD="$CASE/record.txt"
export ROOT WORK RECORD
# The program ends by itself in time. The processes that it starts end with it, whatever ends it.
"$PROGRAM" &
trap 'kill $! 2>/dev/null; exit 2' INT TERM
wait $!
code=$?
# Anything but the three codes, such as the end by a signal, is no verdict.
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
