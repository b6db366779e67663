#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, with the project's own stand-ins, into target/review-2/.
set -e
cd "$(dirname "$0")/.."
for case in review/*/case.ts; do
  name=$(basename "$(dirname "$case")")
  npx --no-install esbuild "$case" --bundle --platform=node --format=esm --target=node20 \
    --packages=external --log-level=warning --outfile="target/review-2/$name.mjs"
done
