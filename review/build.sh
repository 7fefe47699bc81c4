#!/usr/bin/env bash
# Builds every stand-in that the scripts of the review start: the project's store and the review's own worker and client.
set -eu
cd "$(dirname "$0")/.."
make -s build/release/tests/standins/standin_store
mkdir -p build/review
"${CC:-gcc}" -O2 -Wall -Wextra -pthread -o build/review/rig review/rig/rig.c
