#!/bin/sh
# A task that always fails, on a queue with twelve attempts (see claim.txt)
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../stand-2/run.sh" many-attempts "$folder/record.txt"
