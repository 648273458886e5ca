#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
if [ ! -x "$root/bin/pinedale" ] || [ ! -x "$root/bin/review-2-driver" ]; then
	echo "not built: see the line build of deploy/balancer.toml, and review/build-2.sh" >&2
	exit 2
fi
exec "$root/bin/review-2-driver" crowd "$root" "$PWD"
