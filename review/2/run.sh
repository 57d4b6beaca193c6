#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
case=review/stand/target/release/lapsed_server
if [ ! -x "$case" ] || [ ! -x target/release/wisteria-gateway ]; then
  echo "not run: build with the command of deploy/system.toml and with review/build.sh first"
  exit 2
fi
"$case" review/2/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
