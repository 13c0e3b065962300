#!/bin/sh
# Builds the stand-ins of the cases from review/6 on: checks that they compile. They need the
# standard library only; target/deps comes from the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/standins-2 review/6 review/7 review/8 review/9 review/10
