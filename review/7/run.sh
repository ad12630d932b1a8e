#!/bin/sh
# The collector of the daemons' logs stops reading (see claim.txt)
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../stand-2/run.sh" stalled-logs "$folder/record.txt"
