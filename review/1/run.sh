#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)

# Ends the processes of the case that still run, if it was ended by its limit.
clean_up() {
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      if grep -qs "$folder" "/proc/$pid/cmdline"; then
        kill -9 "$pid"
      fi
    done <"$folder/pids"
  fi
  rm -rf "$folder"
}
trap clean_up EXIT

timeout 110 target/bin/review-standin lapsed-entries target/bin "$folder" \
  review/1/record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
