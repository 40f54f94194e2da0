#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
