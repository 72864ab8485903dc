#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file. Run it from any folder.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
for n in 1 2 3; do
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o "target/review-$n" "./review/$n"
done
