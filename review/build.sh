#!/bin/sh
# Builds the stand-ins of the cases; needs a JDK only.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -encoding UTF-8 -d out standins/review/*.java
