#!/usr/bin/env bash
# Builds the program that the scripts of review/11 to review/15 start beside the system's:
# the stand-ins of the platform, the workers and the clients. The build line of the deploy file
# comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/lab3 ./review/lab3
