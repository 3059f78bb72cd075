#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review/ ./review/standin
