#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, besides the programs of the deploy file. The stand-ins of `lib-2` and the tests
# are plain JavaScript without dependencies, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs ./{6,7,8,9,10}/*.mjs; do
    if [[ -e "$file" ]]; then
        node --check "$file"
    fi
done
