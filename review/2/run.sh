#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of deploy/system.toml and of review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-kit ] && [ -x ../../target/cranberrybay ] || exit 2
exec ../../target/review-kit add-beside-cut-hub ../../target/cranberrybay record.txt
