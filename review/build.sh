#!/usr/bin/env bash
# Compiles the stand-ins and the scenarios of the review into target/review. Needs the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all,-processing,-serial --release 17 -d target/review -cp 'target/platform/lib/*' \
  review/standins/*.java $(ls review/[1-5]/*.java 2> /dev/null)
