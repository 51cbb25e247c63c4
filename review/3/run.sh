#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
exec java -Xmx256m -cp target/review KeyPassedOn "$(pwd)" "$here/record.txt"
