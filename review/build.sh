#!/bin/sh
# Builds the stand-ins of the review's cases into review/bin. Run it after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[0-9]*; do
	go build -trimpath -o "review/bin/case$(basename "$case")" "./$case"
done
