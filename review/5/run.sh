#!/bin/sh
# TROUBLE=0 plays the same load while the tenant sends its usual.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig ] && [ -x target/chestnutstep ] || exit 2
exec target/review-rig large-bodies review/5
