#!/bin/sh
# Plays case 5, see claim.txt. With TROUBLE=0 it leaves the disruption out, and the rule must hold.
# Run the build line of deploy/system.toml and review/build.sh first.
set -u
cd "$(dirname "$0")/../.."
test -x target/review/standin && test -x target/basiltally-node || exit 2
trouble=on
if [ "${TROUBLE:-1}" = 0 ]; then # TROUBLE=0
	trouble=off
fi
exec target/review/standin crashing review/5 "$trouble"
