#!/usr/bin/env bash
# An owner of a ledger freezes in an outage of the store, and wakes in the next one. Exits with 1 if a
# program got more than its budget and one turn. TROUBLE=0 leaves the outages and the freeze out.
cd "$(dirname "$0")/../.." || exit 2
harness=target/review/release/review-harness
[ -x "$harness" ] && [ -x target/release/trefoilring ] || exit 2
exec "$harness" budget review/1/record.txt
