#!/bin/bash
# Lays the bench's companions beside the site files of this folder, from the kit at $1; git
# ignores them.
set -euo pipefail
kit=${1:-../given/kit}
here=$(cd "$(dirname "$0")" && pwd)
for f in real.json wire.json unlock.txt; do cp "$kit/sites/$f" "$here/$f"; done
