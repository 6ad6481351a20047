#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2, with the JDK alone. Run it after the build of the
# deploy file. Usage: review/build-2.sh
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
shopt -s nullglob
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/stand-ins-2/*.java review/{6,7,8,9,10}/*.java
