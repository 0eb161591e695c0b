#!/bin/sh
# Regenerates control.h and control_xdr.c from control.x into the folder $1.
set -eu
cd "$(dirname "$0")"
out=${1:-.}
rm -f "$out/control.h" "$out/control_xdr.c"
rpcgen -C -N -h -o "$out/control.h" control.x
rpcgen -C -N -c -o "$out/control_xdr.c" control.x
sed -i 's|"control.h"|"rpc/control.h"|' "$out/control_xdr.c"
