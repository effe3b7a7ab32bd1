#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Needs the build of the deploy file, whose
# program the scripts start from target/.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go build -trimpath -o target/review-stand ./review/stand
