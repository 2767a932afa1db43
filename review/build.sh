#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The daemon itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/standin ./review
