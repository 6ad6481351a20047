#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3. Needs the build of the deploy file first, whose
# JSON library the stand-ins use.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
[ -d target/platform/lib ] || { echo "build-3: run the build of deploy/system.toml first" >&2; exit 2; }
rm -rf target/review-3
mkdir -p target/review-3
javac --release 17 -cp 'target/platform/lib/*' -d target/review-3 review/standins-3/*.java review/1[1-5]/*.java
