#!/bin/sh
# A sidecar stands still for 2 s again and again, and its HTTP/2 client gives up on what is late; see claim.txt.
exec "$(dirname "$0")/../run-case.sh" resets "$(cd "$(dirname "$0")" && pwd)"
