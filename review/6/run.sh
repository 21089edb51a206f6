#!/bin/sh
# See claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/standins-2/out/review2/LineFeeds.class ] || exit 2
exec java -Xmx512m -cp review/standins-2/out review2.LineFeeds review/6
