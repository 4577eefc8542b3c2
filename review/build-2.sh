#!/bin/sh
# Builds the stand-ins of the second review's cases. The deploy file's build command comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 4 5 6 7 8; do
	if [ -d "review/$n/testdata/case$n" ]; then
		go build -o "target/review/case$n" "./review/$n/testdata/case$n"
	fi
done
