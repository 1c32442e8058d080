#!/bin/sh
# Builds the stand-ins that the scripts of review/ start. Run it after the build line of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/standin
