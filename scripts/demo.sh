#!/usr/bin/env bash
# Starts the two demo fleets one after the other, runs the scenario of each against
# it and stops it. The last line is a summary. The exit code is not 0 if a response
# was lost or truncated, a call ran twice, or a fleet failed to start or stop.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly BIN=.bin
readonly DAEMON=${CASSIALATCHD:-$BIN/cassialatchd}
readonly OUT=out/demo
readonly STOP_SECONDS=15

standins=() # process ids
daemons=()
load=()

# vms FLEET KEY VALUE FIELD prints FIELD of each VM whose KEY is VALUE.
vms() {
  sed -n "s/.*\"$2\": \"$3\".*\"$4\": \"\([^\"]*\)\".*/\1/p" "deploy/demo/$1/vms.json"
}

# alive PID... prints the processes that are still running.
alive() {
  local pid
  for pid in "$@"; do
    if kill -0 "$pid" 2>/dev/null; then echo "$pid"; fi
  done
}

# stop PID... sends SIGTERM to processes and waits until they have exited. After
# STOP_SECONDS it kills the remaining ones. It fails if any process exits with an
# error or is killed.
stop() {
  local pid deadline=$((SECONDS + STOP_SECONDS)) code=0
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  while [ -n "$(alive "$@")" ]; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      for pid in $(alive "$@"); do
        echo "demo: process $pid did not stop in time" >&2
        kill -KILL "$pid" 2>/dev/null || true
      done
      break
    fi
    sleep 0.1
  done
  for pid in "$@"; do
    if ! wait "$pid" 2>/dev/null; then
      echo "demo: process $pid failed" >&2
      code=1
    fi
  done
  return "$code"
}

# stop_fleet stops the load generator, then the daemons, then the stand-ins, so that
# the daemons can drain.
stop_fleet() {
  local code=0
  if [ ${#load[@]} -gt 0 ]; then stop "${load[@]}" || code=1; fi
  load=()
  if [ ${#daemons[@]} -gt 0 ]; then stop "${daemons[@]}" || code=1; fi
  daemons=()
  if [ ${#standins[@]} -gt 0 ]; then stop "${standins[@]}" || code=1; fi
  standins=()
  return "$code"
}

# start_standins FLEET MODEL SERVICE PLATFORM [service flags...] starts the stand-ins
# of a fleet. PLATFORM is the address of the platform stand-in.
start_standins() {
  local fleet=$1 model=$2 service=$3 platform=$4 address
  shift 4
  "$BIN/platform-standin" -listen "$platform" -dir "deploy/demo/$fleet" -vm-lag 1s >"$OUT/$fleet/platform.log" 2>&1 &
  standins+=($!)
  for address in $(vms "$fleet" service "$model" address); do
    "$BIN/engine-standin" -listen "$address" >"$OUT/$fleet/engine-$address.log" 2>&1 &
    standins+=($!)
  done
  for address in $(vms "$fleet" service "$service" address); do
    "$BIN/service-standin" -listen "$address" -delay 10ms "$@" >"$OUT/$fleet/service-$address.log" 2>&1 &
    standins+=($!)
  done
}

# start_daemons FLEET starts the daemons of a fleet.
start_daemons() {
  local fleet=$1 settings
  for settings in "deploy/demo/$fleet"/daemons/*.toml; do
    "$DAEMON" -config "$settings" >"$OUT/$fleet/$(basename "$settings" .toml).log" 2>&1 &
    daemons+=($!)
  done
}

# joined prints the lines of standard input, joined with commas.
joined() { paste -sd, -; }

# run_fleet FLEET MODEL SERVICE PLATFORM [service flags...] starts a fleet, runs its
# scenario and stops it.
run_fleet() {
  local fleet=$1 code=0
  mkdir -p "$OUT/$fleet"
  rm -f "$OUT/$fleet"/*.log "$OUT/$fleet/summary.json"
  start_standins "$@"
  start_daemons "$fleet"
  "$BIN/cassialatch-load" \
    -entry "$(vms "$fleet" role entry address | joined)" \
    -wait-ready "$(sed -n 's/^operator = "\(.*\)"$/\1/p' "deploy/demo/$fleet"/daemons/*.toml | joined)" \
    -scenario "deploy/demo/$fleet/scenario.toml" \
    -json "$OUT/$fleet/summary.json" &
  load=($!)
  wait "${load[0]}" || code=$?
  load=()
  stop_fleet || code=1
  return "$code"
}

# total KEY prints the sum of a count over the summaries of all fleets.
total() {
  cat "$OUT"/*/summary.json | sed -n "s/^  \"$1\": \([0-9]*\),*$/\1/p" | awk '{ n += $1 } END { print n + 0 }'
}

trap 'stop_fleet || true' EXIT
trap 'exit 130' INT TERM

mkdir -p "$BIN"
go build -o "$BIN/" ./standin/cmd/... ./cassialatchd
rm -f "$OUT"/*/summary.json

failed=0
run_fleet ringeklokka klang-model arkiv-app 127.10.0.1:7000 -check-key || failed=1
run_fleet huancaray telar-assist pedidos 127.20.0.1:7000 || failed=1
if [ "$(cat "$OUT"/*/summary.json 2>/dev/null | grep -c '^  "sent"')" != 2 ]; then
  echo "demo: a fleet did not run; see the logs in $OUT" >&2
  exit 1
fi
if [ "$failed" != 0 ]; then
  echo "demo: failed; ran twice: $(total duplicates); see the logs in $OUT" >&2
fi
echo "demo: $(total sent) sent, $(total answered) answered whole, $(total warm) reused warm context, $(total lost) lost"
exit "$failed"
