#!/bin/sh
# Compiles the stand-ins of cases 6 to 10 into review/standins-2/out. Needs the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf standins-2/out
mkdir -p standins-2/out
"${JAVA_HOME:+$JAVA_HOME/bin/}javac" -encoding UTF-8 --release 17 -d standins-2/out standins-2/*.java $(ls [6-9]/case/*.java 10/case/*.java 2>/dev/null)
