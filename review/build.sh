#!/bin/sh
# Builds the stand-ins of the cases into target/, after the build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/_review
rm -f target/_review/*.go
for source in review/standin/*.go.txt; do
	cp "$source" "target/_review/$(basename "$source" .txt)"
done
go build -o target/reviewcases ./target/_review
