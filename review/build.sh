#!/bin/sh
# The stand-ins are Python scripts of the standard library: only the project itself is built, by the
# deploy file's command.
cd "$(dirname "$0")/.." && cargo build --release --locked
