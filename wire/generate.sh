#!/usr/bin/env bash
# Regenerates the committed protobuf classes.
# Usage: wire/generate.sh PROTOC, where PROTOC is the compiler's absolute path or its name on the PATH
set -euo pipefail
cd "$(dirname "$0")"
rm -rf src/main/generated
mkdir -p src/main/generated
"$1" --proto_path=src/main/proto --java_out=src/main/generated src/main/proto/*.proto
