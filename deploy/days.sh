#!/usr/bin/env bash
# Writes the days of single kinds of trouble into deploy/days, or plays all days
# there and writes the table of what came of them.
#
#   deploy/days.sh write
#   deploy/days.sh play BENCH OUTPUT SEEDS SITE...
#
# BENCH is the users' bench, SITE a site file of theirs. Each day is played with
# the given number of seeds and varied figures.
set -euo pipefail
cd "$(dirname "$0")/.."

# Each line: the name of a day, planned or fault, the kind and its fields. The
# kind strikes twice, as any kind may.
table() {
  cat <<'TABLE'
burst|plan|kind = "burst", x = 3.0, for_s = 4.0
shift|plan|kind = "shift", share = 0.7, for_s = 6.0
retry-abuse|plan|kind = "retry_abuse", share = 0.4, x = 4.0, for_s = 6.0
give-up|plan|kind = "give_up", share = 0.5, for_s = 6.0
give-up-once|plan|kind = "give_up", share = 0.5, for_s = 6.0, how = "once"
crash|faults|kind = "srv_crash", share = 0.3, for_s = 3.0
crash-dark|faults|kind = "srv_crash", share = 0.3, for_s = 4.0, how = "dark"
crash-gone|faults|kind = "srv_crash", share = 0.15, how = "gone"
crash-domain|faults|kind = "srv_crash", for_s = 4.0, how = "domain"
crash-joined|faults|kind = "srv_crash", share = 0.2, for_s = 4.0, how = "joined"
crash-rack|faults|kind = "srv_crash", for_s = 4.0, how = "rack"
crash-across|faults|kind = "srv_crash", share = 0.3, for_s = 3.0, how = "across"
crash-all|faults|kind = "srv_crash", share = 1.0, for_s = 2.0, how = "all", service = "@s0"
slow|faults|kind = "srv_slow", share = 0.3, x = 6.0, for_s = 6.0
grey-errors|faults|kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "errors"
grey-shed|faults|kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "shed"
grey-busy|faults|kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "busy"
grey-hang|faults|kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "hang"
grey-reset|faults|kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "reset"
grey-mute|faults|kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "mute"
grey-slow|faults|kind = "srv_grey", share = 0.3, x = 8.0, for_s = 6.0, how = "slow"
grey-one-zone|faults|kind = "srv_grey", share = 0.3, x = 0.6, for_s = 6.0, how = "errors one_zone", to_zone = "@z0"
release|plan|kind = "release", share = 0.6, gap_s = 1.0, service = "@s0"
scale-out|plan|kind = "scale_out", share = 0.4, gap_s = 0.5
scale-in|plan|kind = "scale_in", share = 0.25
scale-in-spot|faults|kind = "scale_in", share = 0.2, x = 2.0, how = "spot"
scale-in-reclaim|faults|kind = "scale_in", x = 2.5, for_s = 6.0, how = "reclaim"
scale-in-dry|faults|kind = "scale_in", x = 2.5, for_s = 6.0, how = "reclaim dry"
answer-lost|faults|kind = "answer_lost", share = 0.6, x = 0.1, for_s = 6.0
answer-lost-reset|faults|kind = "answer_lost", share = 0.6, x = 0.1, for_s = 6.0, how = "reset"
garble|faults|kind = "garble", share = 0.5, x = 0.1, for_s = 6.0
garble-extra|faults|kind = "garble", share = 0.5, x = 0.1, for_s = 6.0, how = "extra"
garble-unframed|faults|kind = "garble", share = 0.5, x = 0.1, for_s = 6.0, how = "unframed"
garble-early|faults|kind = "garble", share = 0.5, x = 0.1, for_s = 6.0, how = "early"
kill|faults|kind = "node_kill", share = 0.3
kill-power|faults|kind = "node_kill", share = 0.3, for_s = 4.0, how = "power"
kill-leader|faults|kind = "node_kill", count = 1, how = "leader"
kill-giver|faults|kind = "node_kill", count = 1, how = "giver"
kill-renewed|faults|kind = "node_kill", count = 1, how = "renewed hard"
freeze|faults|kind = "node_freeze", share = 0.3, for_s = 4.0
freeze-renewed|faults|kind = "node_freeze", count = 1, for_s = 4.0, how = "renewed"
freeze-giver|faults|kind = "node_freeze", count = 1, for_s = 5.0, how = "giver"
roll|plan|kind = "roll_term", share = 1.0, gap_s = 3.0
roll-busy|plan|kind = "roll_term", share = 1.0, gap_s = 3.0, how = "busy"
roll-leader|plan|kind = "roll_term", share = 0.5, gap_s = 3.0, how = "leader"
roll-remove|plan|kind = "roll_term", count = 1, how = "remove"
herd|faults|kind = "herd_kill", share = 0.6, for_s = 2.0
herd-power|faults|kind = "herd_kill", share = 0.6, for_s = 3.0, how = "power"
herd-core|faults|kind = "herd_kill", on = "core", for_s = 2.0
herd-core-off|faults|kind = "herd_kill", on = "core", for_s = 2.0, how = "off"
herd-taken|faults|kind = "herd_kill", for_s = 2.0, how = "taken"
replace|faults|kind = "replace_core", x = 1.0
replace-planned|plan|kind = "replace_core", x = 1.0, how = "planned"
replace-leader|faults|kind = "replace_core", x = 1.0, how = "leader"
after-ack|faults|kind = "after_ack_kill", for_s = 3.0
after-ack-kill|faults|kind = "after_ack_kill", for_s = 3.0, how = "kill"
after-ack-timed|faults|kind = "after_ack_kill", for_s = 3.0, how = "timed"
after-ack-taken|faults|kind = "after_ack_kill", for_s = 3.0, how = "taken"
clock-back|faults|kind = "clock_step", share = 0.5, x = 4000.0, for_s = 5.0, how = "back"
clock-ahead|faults|kind = "clock_step", share = 0.5, x = 4000.0, for_s = 5.0, how = "ahead"
hup|plan|kind = "hup", share = 1.0, gap_s = 0.5
reset-conns|faults|kind = "reset_conns", share = 0.6, x = 0.8
cut|faults|kind = "core_cut", count = 1, for_s = 5.0
cut-giver|faults|kind = "core_cut", count = 1, for_s = 6.0, how = "giver"
cut-leader-reset|faults|kind = "core_cut", count = 1, for_s = 5.0, how = "leader reset"
cut-refuse|faults|kind = "core_cut", count = 2, for_s = 5.0, how = "refuse"
cut-one-way|faults|kind = "core_cut", count = 1, for_s = 5.0, how = "one_way"
cut-all|faults|kind = "core_cut", count = 1, for_s = 5.0, how = "all"
cut-meet|faults|kind = "core_cut", count = 1, for_s = 5.0, how = "meet"
cut-race|faults|kind = "core_cut", count = 1, for_s = 5.0, how = "race"
cut-drain|faults|kind = "core_cut", count = 1, for_s = 5.0, how = "drain"
cut-both|faults|kind = "core_cut", count = 1, for_s = 5.0, how = "both"
cut-lure|faults|kind = "core_cut", count = 1, for_s = 5.0, how = "lure"
cut-relieve|faults|kind = "core_cut", count = 1, for_s = 5.0, how = "relieve"
cut-revoke|faults|kind = "core_cut", count = 1, for_s = 5.0, how = "leader revoke"
node-cut|faults|kind = "node_cut", share = 0.3, for_s = 5.0
node-cut-all|faults|kind = "node_cut", share = 0.3, for_s = 5.0, how = "all"
node-cut-servers|faults|kind = "node_cut", share = 0.3, for_s = 5.0, how = "servers"
node-cut-reborn|faults|kind = "node_cut", share = 0.3, for_s = 5.0, how = "servers reborn"
lossy|faults|kind = "lossy", x = 0.05, for_s = 6.0
store-down|faults|kind = "platform_down", for_s = 6.0
store-down-silent|faults|kind = "platform_down", for_s = 6.0, how = "silent"
store-down-busy|faults|kind = "platform_down", for_s = 6.0, how = "busy"
store-down-reset|faults|kind = "platform_down", for_s = 6.0, how = "reset"
store-down-lapse|faults|kind = "platform_down", for_s = 6.0, how = "silent lapse"
store-refuses-some|faults|kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes"
store-refuses-busy|faults|kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes busy"
store-refuses-many|faults|kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes many"
store-refuses-leader|faults|kind = "platform_down", share = 0.3, for_s = 6.0, how = "nodes reset leader"
store-revokes|faults|kind = "platform_down", share = 0.3, for_s = 6.0, how = "nodes leader revoke"
store-slow|faults|kind = "platform_slow", x = 80.0, for_s = 6.0
store-lost|faults|kind = "platform_lost", x = 0.5, for_s = 6.0
store-lost-late|faults|kind = "platform_lost", x = 0.5, for_s = 6.0, how = "late"
store-compact|faults|kind = "platform_compact", x = 3.0, for_s = 6.0
store-compact-drain|faults|kind = "platform_compact", x = 3.0, for_s = 6.0, how = "drain"
config-route|plan|kind = "config_change", how = "route"
config-weights|plan|kind = "config_change", how = "weights"
config-timeout|plan|kind = "config_change", how = "timeout"
config-topup|plan|kind = "config_change", how = "topup"
config-idle|plan|kind = "config_change", how = "idle"
config-storm|plan|kind = "config_storm", for_s = 6.0, gap_s = 0.4
big-config|plan|kind = "big_config", count = 40
model-shift|plan|kind = "model_shift", count = 2, for_s = 4.0
late-orders|faults|kind = "applied_late", x = 0.6, for_s = 8.0, how = "orders"
late-cloud|faults|kind = "applied_late", x = 0.6, for_s = 8.0, how = "cloud"
late-grants|faults|kind = "applied_late", x = 0.6, for_s = 8.0, how = "grants"
late-all|faults|kind = "applied_late", x = 0.6, for_s = 8.0, how = "all"
server-cut|faults|kind = "srv_cut", share = 0.3, for_s = 5.0
server-cut-fronts|faults|kind = "srv_cut", share = 0.3, x = 0.4, for_s = 5.0, how = "fronts"
server-cut-some|faults|kind = "srv_cut", share = 0.3, x = 0.5, for_s = 5.0, how = "some"
server-cut-lossy|faults|kind = "srv_cut", share = 0.3, x = 0.5, for_s = 5.0, how = "some lossy"
server-cut-one-way|faults|kind = "srv_cut", share = 0.3, for_s = 5.0, how = "one_way"
server-cut-reset|faults|kind = "srv_cut", share = 0.3, for_s = 5.0, how = "reset"
server-cut-reborn|faults|kind = "srv_cut", share = 0.3, for_s = 5.0, how = "reborn"
reuse|faults|kind = "replace_with_reuse", share = 0.2
reuse-drain|faults|kind = "replace_with_reuse", share = 0.2, how = "drain"
reuse-dark|faults|kind = "replace_with_reuse", share = 0.2, how = "dark"
node-slow|faults|kind = "node_slow", share = 0.4, x = 6.0, for_s = 6.0
TABLE
}

# Days on which troubles that share a mechanism meet, in the middle of a burst.
mixes() {
  cat <<'TABLE'
mix-refused-drain-change|plan = [{ at = 6.0, kind = "burst", x = 2.0, for_s = 8.0 }, { at = 7.0, kind = "scale_in", share = 0.2 }, { at = 8.0, kind = "config_change", how = "weights" }]|faults = [{ at = 6.5, kind = "platform_down", share = 0.5, for_s = 5.0, how = "nodes busy" }]
mix-late-orders-frozen-holder|plan = [{ at = 5.0, kind = "model_shift", count = 2, for_s = 5.0 }]|faults = [{ at = 4.0, kind = "applied_late", x = 0.6, for_s = 12.0, how = "orders" }, { at = 7.0, kind = "node_freeze", count = 1, for_s = 4.0, how = "giver" }]
mix-herd-history|plan = [{ at = 5.0, kind = "burst", x = 2.0, for_s = 8.0 }]|faults = [{ at = 6.0, kind = "platform_compact", x = 3.0, for_s = 6.0, how = "drain" }, { at = 7.0, kind = "herd_kill", share = 0.6, for_s = 2.0 }]
mix-lost-race|plan = [{ at = 6.0, kind = "config_storm", for_s = 6.0, gap_s = 0.5 }]|faults = [{ at = 5.0, kind = "platform_lost", x = 0.5, for_s = 8.0, how = "late" }, { at = 7.0, kind = "core_cut", count = 1, for_s = 4.0, how = "race" }]
mix-silence-roll|plan = [{ at = 5.0, kind = "roll_term", share = 1.0, gap_s = 4.0, how = "busy" }]|faults = [{ at = 6.0, kind = "reset_conns", share = 0.6, x = 0.8 }, { at = 9.0, kind = "reset_conns", share = 0.6, x = 0.8 }]
mix-reuse-release|plan = [{ at = 5.0, kind = "release", share = 0.6, gap_s = 1.0, service = "@s0" }]|faults = [{ at = 6.0, kind = "replace_with_reuse", share = 0.2 }]
mix-paths-and-store-lost|plan = [{ at = 9.0, kind = "config_change", how = "weights" }]|faults = [{ at = 4.0, kind = "platform_down", share = 0.6, for_s = 14.0, how = "nodes silent" }, { at = 5.0, kind = "srv_cut", share = 1.0, x = 0.6, for_s = 12.0, how = "some" }]
mix-resets-and-kills|plan = [{ at = 1.0, kind = "burst", x = 0.15, for_s = 25.0 }]|faults = [{ at = 2.0, kind = "srv_grey", share = 1.0, x = 0.6, for_s = 20.0, how = "reset", service = "@s0" }, { at = 6.0, kind = "herd_kill", share = 1.0 }, { at = 9.0, kind = "herd_kill", share = 1.0 }, { at = 12.0, kind = "herd_kill", share = 1.0 }, { at = 15.0, kind = "herd_kill", share = 1.0 }]
TABLE
}

write() {
  table | while IFS='|' read -r name part entry; do
    {
      echo "# One kind of trouble, twice."
      echo "name = \"$name\""
      echo "$part = [{ at = 5.0, $entry }, { at = 17.0, $entry }]"
    } > "deploy/days/$name.toml"
  done
  mixes | while IFS='|' read -r name plan faults; do
    printf '# Troubles that share a mechanism, at once.\nname = "%s"\n%s\n%s\n' "$name" "$plan" "$faults" > "deploy/days/$name.toml"
  done
  for kind in power_off_all wipe_after_ack kill_all; do
    for how in "" timed taken; do
      name="closing-${kind//_/-}${how:+-$how}"
      {
        echo "# All machines or processes end right after a change."
        echo "name = \"$name\""
        echo "closing = { kind = \"$kind\", down_s = 1.0${how:+, how = \"$how\"} }"
      } > "deploy/days/$name.toml"
    done
  done
  cat > deploy/days/deadly.toml <<'DAY'
name = "deadly"
faults = [{ at = 5.0, kind = "poison", how = "deadly", class = "review-priority", share = 0.03, for_s = 20.0 }]
DAY
}

play() {
  local bench=$1 output=$2 seeds=$3
  shift 3
  local results
  results=$(mktemp -d)
  for site in "$@"; do
    for day in deploy/days/*.toml; do
      for seed in $(seq "$seeds"); do
        printf '%s\t%s\t%s\n' "$site" "$day" "$seed"
      done
    done
  done | xargs -P "${JOBS:-3}" -L 1 bash -c '
    name="$1/$(basename "$2" .toml).$(basename "$3" .toml).$4"
    "$0" run "$2" "$3" --vary --seed "$4" --why "days of single kinds" --report "$name.json" > "$name.log" 2>&1 || true' "$bench" "$results"
  {
    echo "# Days of single kinds of trouble"
    echo
    echo "Written by \`deploy/days.sh play\`: each day of \`deploy/days\` on each site with varied"
    echo "figures, seeds a day: $seeds; mean worth, and the lowest. A day that does not fit a site"
    echo "is left out there. Commit $(git rev-parse --short HEAD)$(git diff --quiet HEAD -- '*.go' || echo ' with changes')."
    echo
    echo "| day | site | plays | plays with a rule broken | faults | worth | lowest |"
    echo "| --- | --- | --- | --- | --- | --- | --- |"
    for day in deploy/days/*.toml; do
      for site in "$@"; do
        summarise "$(basename "$day" .toml)" "$(basename "$site" .toml)" "$results"
      done
    done
  } > "$output"
  rm -r "$results"
}

# summarise prints one row of the table from the reports.
summarise() {
  local day=$1 site=$2 results=$3
  local reports=("$results/$site.$day".*.json)
  if [ ! -e "${reports[0]}" ]; then
    echo "| $day | $site | 0 | | | does not fit | |"
    return
  fi
  for report in "${reports[@]}"; do
    tr -d '\n' < "$report" | sed -E 's/.*"G": *(-?[0-9.e-]+).*"fault": *([^,]*),.*"breaks": *(\{[^}]*\}).*/\1 \2 \3/'
    echo
  done | awk -v day="$day" -v site="$site" '
    NF { plays++; sum += $1; if (low == "" || $1 + 0 < low) low = $1 + 0 }
    NF && $2 != "null" { faults++ }
    NF && $3 != "{}" { broken++ }
    END { printf "| %s | %s | %d | %d | %d | %.3f | %.3f |\n", day, site, plays, broken, faults, sum / plays, low }'
}

case "${1:-}" in
  write) write ;;
  play) shift; play "$@" ;;
  *) sed -n '2,9p' "$0"; exit 2 ;;
esac
