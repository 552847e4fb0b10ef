#!/usr/bin/env bash
# Builds the programs and runs a small deployment on loopback: log stand-in, six companions with backend stand-ins in
# three failure domains, callers. Shows ownership, requests by rank, the loss of an owner and a preset switch, and ends
# by itself. Set SKIP_BUILD=1 to use existing jars.
set -euo pipefail
cd "$(dirname "$0")"

LOG_PORT=${DEMO_PORT:-19000}
LOG=127.0.0.1:$LOG_PORT
COMPANIONS=6
SERVICE=parcel-lookup
KEY=parcel-1
JAVA_OPTIONS=(-Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1)
STANDIN=standin/target/standin-0.1.0-SNAPSHOT-all.jar
NODE=node/target/node-0.1.0-SNAPSHOT-all.jar
CTL=ctl/target/ctl-0.1.0-SNAPSHOT-all.jar
export SISKIN_LOG=$LOG SISKIN_OPERATOR=demo

work=$(mktemp -d)
companion_pid=()
backend_pid=()

finish() {
    status=$?
    trap - EXIT INT TERM
    if [ "$status" != 0 ]; then
        echo "The demo failed with status $status. Last lines of the processes:" >&2
        tail -n 3 "$work"/*.out | cut -c 1-240 >&2 || true
    fi
    # Companions stop first, since they hand over their slots and close their sessions through the log.
    stop "${companion_pid[@]}"
    stop $(jobs -pr)
    rm -rf "$work"
    exit "$status"
}

# Stops processes of this script by id. A process that takes longer than 5 s is killed.
stop() {
    local pid
    for pid in "$@"; do
        if jobs -pr | grep -qx "$pid"; then
            kill "$pid" || true
        fi
    done
    for _ in $(seq 50); do
        jobs -pr | grep -qxF "$(printf '%s\n' "$@")" || return 0
        sleep 0.1
    done
    for pid in "$@"; do
        if jobs -pr | grep -qx "$pid"; then
            kill -9 "$pid" || true
        fi
    done
}
trap finish EXIT
trap 'exit 130' INT TERM

step() {
    echo
    echo "== $*"
}

ctl() {
    java "${JAVA_OPTIONS[@]}" -jar "$CTL" "$@"
}

# Starts a process in the background: NAME, then the arguments of java.
start() {
    local name=$1
    shift
    java "${JAVA_OPTIONS[@]}" "$@" >"$work/$name.out" 2>&1 &
}

# Waits until a command succeeds: SECONDS, then the command.
await() {
    local tries=$(($1 * 10))
    shift
    for _ in $(seq "$tries"); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "not reached in time: $*" >&2
    return 1
}

http_port() { echo $((LOG_PORT + 100 + $1)); }
peer_port() { echo $((LOG_PORT + 200 + $1)); }

# Requests a key through a companion; succeeds on a complete response.
request() {
    curl -sf --max-time 2 -H "Siskin-Key: $KEY" -H 'Siskin-Customer: growers' -H 'Siskin-Rank: urgent' \
        -H 'Siskin-Deadline-Ms: 1000' "http://127.0.0.1:$1/$SERVICE/item"
}

serving() {
    request "$(http_port "$1")"
}

all_open() {
    ctl status --json | grep -q "\"openSessions\" : $COMPANIONS"
}

if [ "${SKIP_BUILD:-0}" != 1 ]; then
    step "Build"
    mvn -B -ntp -q -DskipTests package -pl node,ctl,standin -am
fi

step "Start the log, $COMPANIONS companions in three failure domains and their backend servers"
start log -jar "$STANDIN" log --port "$LOG_PORT"
await 10 grep -q listening "$work/log.out"
for i in $(seq "$COMPANIONS"); do
    cat >"$work/companion-$i.ini" <<INI
[companion]
instance = demo-$i
failure_domain = domain-$((i % 3))
http = 127.0.0.1:$(http_port "$i")
peer = 127.0.0.1:$(peer_port "$i")
[log]
address = $LOG
INI
    start "companion-$i" -jar "$NODE" --settings "$work/companion-$i.ini"
    companion_pid[i]=$!
    start "backend-$i" -jar "$STANDIN" backend --service "$SERVICE" --companion "127.0.0.1:$(http_port "$i")" \
        --checks-fence
    backend_pid[i]=$!
done

# The first assignment spreads the slots over the sessions that are open; later ones get slots by planned moves.
await 60 all_open

step "Publish the configuration of deploy/landesstelle"
ctl config publish deploy/landesstelle/cluster.ini | head -n 2
await 20 serving 1
ctl status --wait-ms 10000

step "Who owns $KEY"
ctl owner "$SERVICE" "$KEY"

step "Requests by rank for 8 s, through three companions"
cat >"$work/mix.ini" <<INI
[caller]
duration_ms = 8000
[stream phone]
service = $SERVICE
keys = zipf:0.9:2000
key_prefix = parcel-
rate = 60
rank = urgent
customer = growers
resends = 2
[stream advisers]
service = $SERVICE
keys = zipf:0.9:2000
key_prefix = parcel-
rate = 120
rank = standard
customer = advisers
resends = 2
[stream analysts]
service = $SERVICE
keys = uniform:2000
key_prefix = parcel-
rate = 60
rank = bulk
customer = analysts
deadline_ms = 5000
INI
java "${JAVA_OPTIONS[@]}" -jar "$STANDIN" caller --mix "$work/mix.ini" \
    --target "127.0.0.1:$(http_port 1),127.0.0.1:$(http_port 2),127.0.0.1:$(http_port 3)" | tail -n 1 |
    sed -e 's/"\(urgent\|standard\|bulk\)":/\n  \1 /g' -e 's/,"mismatched"/\n  "mismatched"/'

step "Kill the owner of $KEY"
owner=$(ctl owner "$SERVICE" "$KEY" | sed -n 's/.*owner: demo-\([0-9]*\)\/.*/\1/p')
other=$((owner % COMPANIONS + 1))
kill -9 "${companion_pid[owner]}"
killed_ms=$(date +%s%3N)
echo "killed the companion of demo-$owner; asking demo-$other"
await 10 serving "$other"
echo "$KEY is served again $(($(date +%s%3N) - killed_ms)) ms after the kill"
kill "${backend_pid[owner]}" 2>/dev/null || true
sleep 1
ctl owner "$SERVICE" "$KEY"

step "Switch the preset; in force on all open sessions"
ctl preset switch peak
ctl status --wait-ms 5000

step "Remove the customer analysts and prove that its traffic has stopped"
ctl depart analysts --wait-ms 10000

step "Audit trail of the operators"
ctl audit --kind config,preset,customer,drain | cut -c 1-160

echo
echo "The demo is complete."
