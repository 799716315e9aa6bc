#!/usr/bin/env bash
# Plays case 6. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-2/lab2 ] && [ -x target/lagoonpass-platform ] || exit 2
export TROUBLE=${TROUBLE:-1}
exec target/review-2/lab2 reborn "$folder"
