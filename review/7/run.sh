#!/bin/sh
exec "$(dirname "$0")/../standins-2/run-case.sh" "$(dirname "$0")" memory_limit
