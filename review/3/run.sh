#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 110 target/bin/review-standin stopped-entry target/bin "$folder" \
  review/3/record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
