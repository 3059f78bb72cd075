#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the kill of a router. review/build.sh must have run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin slow review/2/record.txt
