#!/usr/bin/env bash
# Plays a case: `play.sh CASE FOLDER`, after the build of the deploy file and review/build.sh. Writes
# record.txt to the folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
folder=$2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR REVIEW_PIDS=$TMPDIR/pids TROUBLE=${TROUBLE:-1}
# Ends the entries if the program was ended before it could.
end() {
    if [[ -f $REVIEW_PIDS ]]; then
        while read -r pid; do
            [[ $(cat "/proc/$pid/comm" 2>/dev/null) == jackdawpind ]] && kill -9 "$pid" 2>/dev/null
        done <"$REVIEW_PIDS"
    fi
    rm -rf "$TMPDIR"
}
trap end EXIT
timeout 110 target/review/standin "$1" "$folder/record.txt"
code=$?
((code < 2)) || code=2
exit "$code"
