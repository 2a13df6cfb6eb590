#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/ ./review/stand2
