#!/bin/sh
# Runs case 4; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/scheduler ] && [ -x review/bin/rig ] || exit 2
exec review/bin/rig gang review/4/record.txt
