#!/usr/bin/env bash
# Writes the wire types from the schema to the file named by the first argument.
set -eu
cd "$(dirname "$0")/.."
go tool -modfile=tools/go.mod go-jsonschema --package wire --only-models --tags json,cbor --capitalization Id schema/wire.json -o "$1"
