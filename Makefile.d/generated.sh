#!/bin/sh
# generated.sh RPCGEN_FLAGS...: fails if a committed file that rpcgen makes
# from src/rpc/control.x differs from what rpcgen makes now.
set -u
[ -f src/rpc/control.x ] || exit 0
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp src/rpc/control.x "$work" || exit 1
(
	cd "$work" &&
	    rpcgen "$@" -h -o control.h control.x &&
	    rpcgen "$@" -c -o control_xdr.c control.x &&
	    rpcgen "$@" -l -o control_clnt.c control.x &&
	    rpcgen "$@" -m -o control_svc.c control.x
) || exit 1
passed=0
failed=0
for f in src/rpc/control.h src/rpc/control_*.c; do
	if cmp "$f" "$work/$(basename "$f")"; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
