#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
python=../../.venv/bin/python
test -x $python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_TMP
clean_up() {
    if test -f "$REVIEW_TMP/broker.pid"; then kill -KILL "$(cat "$REVIEW_TMP/broker.pid")" 2>/dev/null; fi
    rm -rf "$REVIEW_TMP"
}
$python -B case.py &
case=$!
trap 'kill -TERM $case 2>/dev/null' TERM INT HUP
wait $case
code=$?
while kill -0 $case 2>/dev/null; do
    wait $case
    code=$?
done
clean_up
test -s record.txt || exit 2
case $code in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
