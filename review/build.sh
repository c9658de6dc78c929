#!/bin/sh
# The stand-ins are Python 3.11 without packages: there is nothing to compile. Checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in ["lib/standin.py", "lib/small.py", *sorted(glob.glob("[1-5]/*.py"))]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
print("the stand-ins can be loaded")
'
