#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start: the driver with the stand-ins for clients, endpoints and discovery.
# The driver needs the standard library only, so that no network is needed. The project's own programs are built by the
# line `build` of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/driver-2"
mkdir -p ../../bin
CGO_ENABLED=0 go build -o ../../bin/review-2-driver .
