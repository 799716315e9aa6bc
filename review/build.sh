#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the project's program: the store, the
# workers and the clients, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
