#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts to review/bin.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/ ./review/stand3
