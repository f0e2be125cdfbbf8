#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/_review3, without a network. Run it in the root of the repository, or anywhere.
set -e
cd "$(dirname "$0")/.."
folder=target/_review3/source
rm -rf "$folder"
mkdir -p "$folder"
for source in review/standin-3/*.go.txt; do
	cp "$source" "$folder/$(basename "$source" .txt)"
done
GOPROXY=off go build -o target/_review3/review3 ./target/_review3/source
