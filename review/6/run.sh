#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# Run the build of the deploy file and review/build-2.sh first. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."

program=target/release/azurepath
standin=target/review-2/standin
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
  echo "build azurepath and the stand-ins first" >&2
  exit 2
fi
directory=$(mktemp -d) || exit 2
timeout -k 1 115 "$standin" carried "$program" "$directory" review/6/record.txt
code=$?
if [ "$code" -gt 2 ]; then
  # The stand-in has not ended its instances by itself.
  [ -f "$directory/pids" ] && xargs -r kill -9 <"$directory/pids" 2>/dev/null
  code=2
fi
rm -rf "$directory"
exit "$code"
