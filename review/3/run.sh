#!/usr/bin/env bash
# A request that crashes workers comes at hosts that are cut off from all workers. Exits with 1 if it runs
# more than three times later than 3 s after its third crash. TROUBLE=0 leaves the cut out.
cd "$(dirname "$0")/../.." || exit 2
harness=target/review/release/review-harness
[ -x "$harness" ] && [ -x target/release/trefoilring ] || exit 2
exec "$harness" crashing review/3/record.txt
