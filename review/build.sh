#!/bin/bash
# Builds the stand-ins of the cases into target/review. Run it from anywhere, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/testdata/case*/; do
	go build -o "target/review/$(basename "$case")" "./$case"
done
