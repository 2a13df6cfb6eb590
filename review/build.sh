#!/bin/sh
# Builds the stand-ins that the scripts start.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin
exec go build -tags review -o review/bin/ ./review/stand
