#!/usr/bin/env bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the request crashes nothing for either caller.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
[ -x target/magnolialedge ] && [ -x target/review-2/standin-2 ] || exit 2
target/review-2/standin-2 -twin -crash process -seconds 40 -trouble=$trouble -record review/9/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
