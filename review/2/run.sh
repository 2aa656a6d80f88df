#!/bin/sh
# Runs case 2; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/scheduler ] && [ -x review/bin/rig ] || exit 2
exec review/bin/rig images review/2/record.txt
