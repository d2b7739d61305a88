#!/bin/sh
# Builds the cases 6 to 10 of the review, with the stand-ins that they start, to bin/review2. Run it after the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin/review2 || exit 2
for n in 6 7 8 9 10; do
	if [ -d "review/$n" ]; then
		go build -o "bin/review2/$n" "./review/$n" || exit 2
	fi
done
