#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the restarts. review/build.sh must have run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin rolling review/2/record.txt
