#!/bin/sh
# Plays the case; with TROUBLE=0 the part crashes no worker. review/build.sh must have run.
# PARTS is the number of parts of a prompt, 20 if it is not set.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin parts review/3/record.txt
