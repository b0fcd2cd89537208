#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/tools"
GOENV=off GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../bin/casekit .
