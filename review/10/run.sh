#!/bin/sh
# Plays the case; TROUBLE=0 lets the store answer every write.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/acaciaquay ] && [ -x target/review-standin2 ] || exit 2
exec target/review-standin2 -case cancel -record review/10/record.txt
