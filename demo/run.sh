#!/usr/bin/env bash
# Runs both example deployments on loopback for half a minute: stand-ins for
# the platform and the targets, six routers in four zones each, and a load that
# verifies every answer. Prints a report for each deployment. The exit code
# says whether all promises were kept. Build the programs with make first.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly BIN=bin
readonly WORK=.demo
readonly ROUTERS=6
readonly LOAD_SECONDS="${DEMO_SECONDS:-30}"
readonly READY_SECONDS=10
readonly STOP_SECONDS=10
readonly TOKENS_PER_SECOND=20
readonly LIGHT_INTERVAL=4s
# The fleet starts as one whose instance list has not changed lately: routers
# that replaced others refuse keys that the others may have executed.
readonly LIST_AGE=10m

# Deployments: name, port of the platform, port of the first router's entry.
readonly DEPLOYMENTS=(
  "siam-broadsheet 7001 7500"
  "atlas-sous-bois 7002 7600"
)

started=0

# start LOG COMMAND...: runs a command in the background.
start() {
  local log="$1"
  shift
  "$@" >"$WORK/$log.log" 2>&1 &
  started=$((started + 1))
}

# stop_all sends TERM to all running jobs of this shell and waits for them.
stop_all() {
  local pid pids deadline=$((SECONDS + STOP_SECONDS))
  read -r -d '' -a pids <<<"$(jobs -pr)" || true
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && ((SECONDS < deadline)); do
      sleep 0.1
    done
    if kill -0 "$pid" 2>/dev/null; then
      echo "demo: process $pid did not stop in $STOP_SECONDS s" >&2
      kill -KILL "$pid" 2>/dev/null || true
    fi
    wait "$pid" 2>/dev/null || true
  done
}

# finish stops everything, shows the logs after a failure and removes the files.
finish() {
  local status=$?
  trap - EXIT
  stop_all
  if ((status != 0)) && [[ -d "$WORK" ]]; then
    tail -n 5 "$WORK"/*.log >&2 || true
  fi
  rm -rf "$WORK"
  exit "$status"
}

# start_targets NAME PLATFORM_PORT: the platform, the engines and the services.
start_targets() {
  local name="$1" port="$2" configuration="$WORK/$1.configuration"
  start "$name-engines" "$BIN/chiveseam-standin" engines \
    --configuration "$configuration" --tokens-per-second "$TOKENS_PER_SECOND"
  start "$name-services" "$BIN/chiveseam-standin" services --configuration "$configuration"
  start "$name-platform" "$BIN/chiveseam-standin" platform \
    --listen "127.0.0.1:$port" --configuration "$configuration" \
    --instances "$WORK/$name.instances" --add-targets --list-age "$LIST_AGE"
}

# start_routers NAME PLATFORM_PORT: the routers of the plan.
start_routers() {
  local name="$1" port="$2" router incarnation zone region entry peer admin
  while read -r router incarnation zone region entry peer admin; do
    start "$router" "$BIN/chiveseam-router" \
      --name "$router" --incarnation "$incarnation" --zone "$zone" --region "$region" \
      --entry-listen "$entry" --peer-listen "$peer" --admin-listen "$admin" \
      --platform-url "http://127.0.0.1:$port"
  done <"$WORK/$name.routers"
}

# prepare NAME FIRST_PORT: the configuration and the plan of the routers.
prepare() {
  local name="$1" first_port="$2"
  "$BIN/chiveseamctl" questionnaire generate "examples/$name.yaml" -o "$WORK/$name.configuration"
  "$BIN/chiveseam-standin" routers --configuration "$WORK/$name.configuration" \
    --count "$ROUTERS" --first-port "$first_port" \
    --output "$WORK/$name.instances" >"$WORK/$name.routers"
}

# await_ready NAME: waits until each router of the deployment is ready.
await_ready() {
  local name="$1" admin deadline=$((SECONDS + READY_SECONDS))
  while read -r _ _ _ _ _ _ admin; do
    until curl -fs -m 1 -o /dev/null "http://$admin/readyz"; do
      if ((SECONDS >= deadline)); then
        echo "demo: router at $admin is not ready after $READY_SECONDS s" >&2
        return 1
      fi
      sleep 0.1
    done
  done <"$WORK/$name.routers"
}

# check_running fails unless all processes that were started still run.
check_running() {
  local running
  read -r -d '' -a running <<<"$(jobs -pr)" || true
  if ((${#running[@]} != started)); then
    echo "demo: $((started - ${#running[@]})) of $started processes ended early" >&2
    return 1
  fi
}

# run_load NAME: sends the load and writes the report, in place of the shell.
run_load() {
  local name="$1" entry admin arguments=()
  while read -r _ _ _ _ entry _ admin; do
    arguments+=(--router "$entry" --admin "$admin")
  done <"$WORK/$name.routers"
  exec "$BIN/chiveseam-standin" load --configuration "$WORK/$name.configuration" \
    --duration "${LOAD_SECONDS}s" --light-interval "$LIGHT_INTERVAL" \
    "${arguments[@]}" >"$WORK/$name.report" 2>&1
}

main() {
  local deployment name platform_port first_port load status=0 loads=()
  rm -rf "$WORK"
  mkdir "$WORK"
  trap finish EXIT
  trap 'exit 130' INT TERM
  for deployment in "${DEPLOYMENTS[@]}"; do
    read -r name platform_port first_port <<<"$deployment"
    prepare "$name" "$first_port"
    start_targets "$name" "$platform_port"
    start_routers "$name" "$platform_port"
  done
  for deployment in "${DEPLOYMENTS[@]}"; do
    read -r name _ _ <<<"$deployment"
    await_ready "$name"
  done
  check_running
  for deployment in "${DEPLOYMENTS[@]}"; do
    read -r name _ _ <<<"$deployment"
    run_load "$name" &
    loads+=("$!")
  done
  for load in "${loads[@]}"; do
    wait "$load" || status=1
  done
  cat "$WORK"/*.report
  return "$status"
}

main
