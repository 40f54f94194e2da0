#!/bin/sh
# Runs one case: run-2.sh FOLDER CLASS. Ends whatever the case has left after 118 seconds.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/junipercourse.jar ] || [ ! -d target/review-2 ]; then
  echo "build the program and run review/build-2.sh first"
  exit 2
fi
timeout -k 1 117 java -Xmx256m -cp target/review-2 "$2" "$1"
code=$?
if [ "$code" -ne 0 ] && [ "$code" -ne 1 ]; then
  code=2
fi
exit "$code"
