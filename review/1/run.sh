#!/usr/bin/env bash
# Plays the script of the case. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the script couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/clementinedge ] || [ ! -x target/review-stand ]; then
	echo 'run the build of deploy/system.toml and review/build.sh first' >&2
	exit 2
fi
exec target/review-stand reuse review/1/record.txt
