#!/usr/bin/env bash
# Builds the programs, runs a mesh of three daemons and three stand-in
# upstreams on this machine, changes its configuration and sends requests.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root"
if [ "${1:-}" != --no-build ]; then
  .ci/require-packages build test
  cmake --preset release > /dev/null
  cmake --build --preset release \
    --target hibiscusgladed hibiscusgladectl standin_upstream
fi
bin=$root/build/release/bin
settings=$root/examples/quickstart
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  wait || true
  rm -rf "$work"
}
trap stop_all EXIT
cd "$work"
ctl() { "$bin/hibiscusgladectl" --api 127.0.0.1:17103 "$@"; }
say() { printf '\n$ %s\n' "$*"; }

for d in a b c; do
  "$bin/hibiscusgladectl" found-replica --settings "$settings/$d.jsonc" > /dev/null
done
daemons=()
i=0
for d in a b c; do
  i=$((i + 1))
  "$bin/hibiscusgladed" --settings "$settings/$d.jsonc" 2> "log-$d" &
  pids+=($!)
  daemons+=($!)
  "$bin/standin_upstream" --service plots --instance "plots-$d" --port "17${i}05" \
    --daemon "127.0.0.1:17${i}04" &
  pids+=($!)
done
for _ in $(seq 100); do
  [ "$(ctl --json upstreams 2> /dev/null | grep -o '"upstream":"serving"' | wc -l)" = 3 ] && break
  sleep 0.1
done

say hibiscusgladectl propose --base 0 --patch_id first --patch version-1.json
ctl propose --base 0 --patch_id first --patch "$settings/version-1.json"
say hibiscusgladectl watch 1
ctl watch 1
say hibiscusgladectl propose --base 0 --patch_id second --patch version-1.json
ctl propose --base 0 --patch_id second --patch "$settings/version-1.json" || echo "exit status $?"
say hibiscusgladectl propose --base 0 --patch_id first --patch version-1.json
ctl propose --base 0 --patch_id first --patch "$settings/version-1.json"
for port in 17100 17200 17300; do
  say curl "http://127.0.0.1:$port/plots/7"
  curl -sS --noproxy '*' "http://127.0.0.1:$port/plots/7"
done
say curl -d girth=31 -H "'Idempotency-Key: tag-7'" http://127.0.0.1:17100/tags/7
curl -sS --noproxy '*' -d girth=31 -H 'Idempotency-Key: tag-7' http://127.0.0.1:17100/tags/7
say the same again, through another daemon
curl -sS --noproxy '*' -d girth=31 -H 'Idempotency-Key: tag-7' http://127.0.0.1:17200/tags/7
say kill -TERM the daemons
for pid in "${daemons[@]}"; do kill -TERM "$pid"; done
for pid in "${daemons[@]}"; do wait "$pid" && echo "stopped cleanly"; done
