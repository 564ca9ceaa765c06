# Functions that run a small fleet on the loopback interface; sourced by the scripts beside it.
# Needs BIN (directory of the programs) and WORK (an empty directory); everything listens on 127.0.0.1.

fleet_pids=()

# Starts a program in the background with its output in WORK/NAME.log.
fleet_start() {
    local name=$1
    shift
    "$@" > "$WORK/$name.log" 2>&1 &
    fleet_pids+=($!)
    eval "fleet_pid_${name//-/_}=$!"
}

# Waits until WORK/NAME.log holds a line that matches PATTERN.
fleet_wait_log() {
    local name=$1 pattern=$2
    for _ in $(seq 200); do
        grep -q -E "$pattern" "$WORK/$name.log" && return 0
        sleep 0.05
    done
    echo "$name did not start:" >&2
    cat "$WORK/$name.log" >&2
    return 1
}

# Ends everything that was started, gracefully.
fleet_stop() {
    kill -TERM "${fleet_pids[@]}" 2>/dev/null || true
    wait "${fleet_pids[@]}" 2>/dev/null || true
    fleet_pids=()
}

# Ports printed by a stand-in, one per line.
fleet_ports() {
    grep -o -E '[0-9]+$' "$WORK/$1.log"
}

# Starts the store and the host list; sets STORE_PORT and HOSTS_PORT.
fleet_platform() {
    fleet_start store "$BIN/store-stand-in" --port 0
    fleet_start hosts "$BIN/host-list-stand-in" --port 0
    fleet_wait_log store '[0-9]+$'
    fleet_wait_log hosts '[0-9]+$'
    STORE_PORT=$(fleet_ports store | head -1)
    HOSTS_PORT=$(fleet_ports hosts | head -1)
}

# Writes the settings of host INDEX in data centre DC of region REGION; FIRST is the first port of its three.
fleet_settings() {
    local index=$1 dc=$2 region=$3 first=$4 threads=${5:-1} seeds=$6
    cat > "$WORK/host-$index.json" <<JSON
// Settings of one host of the local fleet.
{
  "hostId": "host-$index",
  "dataCentre": "$dc",
  "region": "$region",
  "callerListener": {"address": "127.0.0.1", "port": $first},
  "operatorListener": {"address": "127.0.0.1", "port": $((first + 1))},
  "peerListener": {"address": "127.0.0.1", "port": $((first + 2))},
  "advertisedAddress": "127.0.0.1",
  "trafficThreads": $threads,
  "store": {"address": "127.0.0.1", "port": $STORE_PORT},
  "hostList": {"address": "127.0.0.1", "port": $HOSTS_PORT},
  "operatorKeyFile": "$WORK/operator.key",
  "spansFile": "$WORK/spans-$index.jsonl",
  "peers": [$seeds],
  "log": {"level": "info", "json": false}
}
JSON
}

# Starts host INDEX.
fleet_host() {
    fleet_start "host-$1" "$BIN/mangofalld" --config "$WORK/host-$1.json"
}

# Calls the operators' interface of the host with operator port PORT.
fleet_operator() {
    local port=$1 path=$2
    shift 2
    curl -s --max-time 15 -H "authorization: Bearer $(cat "$WORK/operator.key")" "$@" "http://127.0.0.1:$port/operator/$path"
}

# Waits until the host with caller port PORT is ready.
fleet_wait_ready() {
    for _ in $(seq 300); do
        curl -s -o /dev/null -f --max-time 1 "http://127.0.0.1:$1/readyz" && return 0
        sleep 0.05
    done
    echo "the host on port $1 did not become ready" >&2
    return 1
}
