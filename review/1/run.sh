#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the kill of the routers. review/build.sh must have run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin versions review/1/record.txt
