#!/bin/bash
# Builds the stand-ins that the cases start: clients, servers, discovery and network. Standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/standin .
