#!/usr/bin/env bash
# Runs the model checks of model/checks.txt: "model.sh check" or "model.sh mutants".
# To print a counterexample: model.sh trace SPECIFICATION PROPERTY SWITCH...
set -uo pipefail
cd "$(dirname "$0")/.."

readonly MODEL_DIR=$PWD/model
readonly OUT_DIR=$PWD/out/model
readonly MEMORY_MB=${MODEL_MEMORY_MB:-1900} # of each search
readonly MAX_DEPTH=${MODEL_MAX_DEPTH:-4000000}
readonly JOBS=${MODEL_JOBS:-3}

trim() { sed 's/^ *//; s/ *$//' <<<"$1"; }

# Builds a verifier of specification $2 in directory $1, with $3 as compiler flags and the other
# arguments as switches of spin.
build() {
	local dir=$1 spec=$2 cflags=$3
	shift 3
	rm -rf "$dir" && mkdir -p "$dir" && cd "$dir" || return 1
	spin -a "$@" "$spec" >spin.out 2>&1 || { cat spin.out; return 1; }
	gcc -O2 -w -DSAFETY -DNOREDUCE -DMEMLIM=$MEMORY_MB $cflags -o pan pan.c
}

# Searches the whole state space depth-first.
search_all() { build "$@" && ./pan -m$MAX_DEPTH -w22 >pan.out 2>&1; }

# Searches breadth-first, so that the counterexample is a shortest one.
search_shortest() { build "$1" "$2" -DBFS "${@:3}" && ./pan >pan.out 2>&1; }

states() { sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out; }
complete() { grep -q 'errors: 0' pan.out && ! grep -qiE 'max search depth|out of memory|search not completed|truncated|error:' pan.out; }

# Prints the property of specification $1 that the counterexample in the current directory violates.
broken() {
	local line
	grep -q 'assertion violated' pan.out || { echo none; return; }
	line=$(spin -k "$(basename "$1").trail" "${@:2}" "$1" 2>/dev/null | sed -n 's/^spin: .*:\([0-9]*\), Error: assertion violated.*/\1/p' | head -1)
	sed -n "${line:-0}{s/.*PROPERTY(\([a-z_]*\),.*/\1/p;s/.*assert(false).*/witness/p}" "$1" 2>/dev/null
}

# Prints the names of the properties of specification $1.
properties_of() { sed -n 's/.*PROPERTY(\([a-z_]*\),.*/\1/p' "$1" | grep -vx name; }

# Fails unless each property is checked by at least one run and violated by at least one.
all_listed() {
	local spec property failed=0
	for spec in "$MODEL_DIR"/*.pml; do
		for property in $(properties_of "$spec"); do
			has_run 'holds|expected' "$spec" "$property" || { echo "FAIL ${spec##*/}: no run checks $property"; failed=1; }
			has_run 'mutant|expected' "$spec" "$property" || { echo "FAIL ${spec##*/}: no run breaks $property"; failed=1; }
		done
	done
	return $failed
}

# Succeeds if checks.txt has a run of kind $1 of specification $2 with property $3.
has_run() { grep -qE "^($1) *\| ${2##*/} .*\|.*\b$3\b" "$MODEL_DIR/checks.txt"; }

# Copies specification $1 to $2 and disables all properties that are not among the other arguments.
keep() {
	local spec=$1 copy=$2 property
	cp "$spec" "$copy"
	for property in $(properties_of "$spec"); do
		[[ " ${*:3} " == *" $property "* ]] || set_condition "$copy" "$property" true
	done
}

# Replaces the condition of property $2 in file $1 with $3.
set_condition() { sed -i "s/PROPERTY($2,.*)\( }\|;\)\{0,1\}\$/PROPERTY($2, $3)\1/" "$1"; }

# Succeeds if the assertion of property $3 in specification $2 is reached, that is, if it fails when
# its condition is false. Builds in directory $1; the other arguments are switches of spin.
reached() {
	local dir=$1 copy=$1.pml property=$3
	keep "$2" "$copy" "$property"
	set_condition "$copy" "$property" false
	grep -q "PROPERTY($property, false)" "$copy" || return 1
	(search_shortest "$dir" "$copy" "${@:4}" && [ "$(broken "$copy" "${@:4}")" = "$property" ])
}

# Runs one line of checks.txt.
run() {
	local kind=$1 spec=$MODEL_DIR/$2 switches=$3 properties=$4 dir=$OUT_DIR/$5 property
	local title="$2 $switches"
	mkdir -p "$dir"
	keep "$spec" "$dir.pml" $properties
	spec=$dir.pml
	case $kind in
	holds)
		search_all "$dir" "$spec" "" $switches || { echo "FAIL $title: did not run"; return 1; }
		complete || { echo "FAIL $title: incomplete, or $(broken "$spec" $switches) fails"; return 1; }
		echo "ok   $title: $(states) states, all searched"
		for property in $properties; do
			reached "$dir-$property" "$spec" "$property" $switches ||
				{ echo "FAIL $title: $property is never checked"; return 1; }
			echo "ok       $property holds"
		done
		;;
	reaches | expected | mutant)
		search_shortest "$dir" "$spec" $switches || { echo "FAIL $title: did not run"; return 1; }
		property=$(broken "$spec" $switches)
		[ "$property" = "$properties" ] || { echo "FAIL $title: $properties should fail, but: ${property:-other error}"; return 1; }
		echo "ok   $title: $kind, $property fails after $(states) states"
		;;
	*) echo "FAIL unknown kind $kind"; return 1 ;;
	esac
}

# Runs the lines of checks.txt whose kind matches $1, at most JOBS at a time, and prints the results
# in order.
run_all() {
	local wanted=$1 number=0 failed=0 file kind spec switches properties
	rm -rf "$OUT_DIR" && mkdir -p "$OUT_DIR"
	while IFS='|' read -r kind spec switches properties; do
		kind=$(trim "$kind")
		[[ $kind =~ ^($wanted)$ ]] || continue
		number=$((number + 1))
		while [ "$(jobs -rp | wc -l)" -ge "$JOBS" ]; do wait -n; done
		(
			name=$(printf '%03d' $number)
			run "$kind" "$(trim "$spec")" "$(trim "$switches")" "$(trim "$properties")" "$name" >"$OUT_DIR/$name.log" 2>&1
			echo $? >"$OUT_DIR/$name.rc"
		) &
	done < <(grep -vE '^(#|$)' "$MODEL_DIR/checks.txt")
	wait
	for file in "$OUT_DIR"/*.log; do
		cat "$file"
		[ "$(cat "${file%.log}.rc" 2>/dev/null)" = 0 ] || failed=$((failed + 1))
	done
	echo "$number runs, $failed failed"
	[ "$number" -gt 0 ] && [ "$failed" = 0 ]
}

# Prints a shortest counterexample to property $2 of specification $1 as a list of events.
trace() {
	local dir=$OUT_DIR-trace copy=$OUT_DIR-trace.pml
	mkdir -p "$dir"
	keep "$MODEL_DIR/$1" "$copy" "$2"
	search_shortest "$dir" "$copy" "${@:3}" || return 1
	spin -T -k "$(basename "$copy").trail" "${@:3}" "$copy" | sed -n '/^spin: text/p; /^spin:/q; /^ *[a-z]*.*:/p'
}

command -v spin >/dev/null || { echo "spin is not installed"; exit 1; }
case ${1:-} in
check) all_listed && run_all 'holds|reaches|expected' ;;
mutants) run_all mutant ;;
trace) trace "${@:2}" ;;
*) echo "usage: model.sh check | mutants | trace SPECIFICATION PROPERTY SWITCH..."; exit 2 ;;
esac
