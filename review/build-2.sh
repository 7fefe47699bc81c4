#!/usr/bin/env bash
# Builds every stand-in that a script of the second review starts, after the build of the deploy file: the project's own store, and
# rig-2/rig.c.
set -eu
cd "$(dirname "$0")/.."
make -j8 build/release/tests/standins/standin_store
mkdir -p build/review-2
gcc -O2 -Wall -Wextra -pthread -o build/review-2/rig review/rig-2/rig.c
