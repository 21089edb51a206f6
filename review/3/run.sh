#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[[ -f ../../target/tillerlink.jar && -d ../out ]] || exit 2
timeout -k 5 110 "${JAVA_HOME:+$JAVA_HOME/bin/}java" -Xmx1g -cp ../out GoneCase "$(cd ../.. && pwd)" record.txt
code=$?
[[ $code == 0 || $code == 1 ]] && exit $code
exit 2
