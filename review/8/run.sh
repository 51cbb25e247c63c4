#!/bin/sh
# Case 8 (claim.txt). TROUBLE=0: the same without the disruption. Exit 1: the rule was broken, 0: it held, 2: it could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -f target/brambletray.jar ] || [ ! -f target/review-2/HeaderLimit.class ]; then
    echo "build first: the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
fi
timeout 118 java -Xmx512m -cp target/review-2 HeaderLimit "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
