#!/bin/sh
# Orders sent before a minion's restart are carried out after it (see claim.txt)
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../stand-2/run.sh" late-orders "$folder/record.txt"
