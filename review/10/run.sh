#!/bin/sh
# A machine joins the pool shortly before a wave that names it (see claim.txt)
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../stand-2/run.sh" new-machines "$folder/record.txt"
