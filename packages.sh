#!/bin/sh
# Installs the packages listed in packages.txt that are missing.
set -eu
cd "$(dirname "$0")"
export DEBIAN_FRONTEND=noninteractive
missing=
while read -r name; do
	dpkg-query -W -f '${Status}' "$name" 2>/dev/null |
	    grep -q 'install ok installed' || missing="$missing $name"
done <packages.txt
[ -z "$missing" ] && exit 0
apt-get update -q
# shellcheck disable=SC2086
apt-get install -y -q --no-install-recommends $missing
