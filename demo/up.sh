#!/bin/sh
# Starts the Lavoir Toutou deployment, which runs until down.sh stops it.
set -eu
cd "$(dirname "$0")/.."
. demo/lib.sh
DIR=$BUILD/demo
mkdir -p "$DIR"
[ ! -s "$DIR/pids" ] || { echo "already running; make demo-down" >&2; exit 1; }
deployment lavoir
start_all
echo "callers: http://$ENTRY1"
echo "curl -N http://$ENTRY1/v1/chat/completions -H 'Authorization: Bearer key-$ORG1' -d '{\"model\":\"small\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"How warm is the water?\"}]}'"
