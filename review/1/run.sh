#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
exec target/reviewcases removal review/1/record.txt
