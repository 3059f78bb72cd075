#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 into target/. The project's own programs come from the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
