#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. The sources have another ending than .go, so that the checks of the module leave
# them out; a folder whose name begins with _ does the same for their copies.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=target/_review2
rm -rf "$folder"
mkdir -p "$folder"
for source in review/standin-2/*.go.txt; do
	cp "$source" "$folder/$(basename "$source" .txt)"
done
go vet "./$folder"
go build -o target/review2 "./$folder"
