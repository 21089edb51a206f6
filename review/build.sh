#!/usr/bin/env bash
# Builds every stand-in and test that review/N/run.sh start, into review/out.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf out
"${JAVA_HOME:+$JAVA_HOME/bin/}javac" -encoding UTF-8 -d out standins/*.java [0-9]/*.java
