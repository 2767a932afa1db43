#!/usr/bin/env bash
# check.sh runs every model and every mutation and prints the results as a table. It exits with 1 when a
# model has a violation, when a mutation has none, or when a search does not end within its bounds.
#
# Bounds: 4 searches at a time, 150 s each; 1,800 MB for the complete search of lease.pml and 500 MB for
# each other one, which is below 4 GiB in all.
set -euo pipefail

readonly seconds=150
readonly depth=300000

spec=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search NAME MODEL EXPECTED MEGABYTES DEFINES... verifies one variant and writes its line of the table.
search() {
	local name=$1 model=$2 expected=$3 megabytes=$4
	shift 4
	local dir=$work/$name mode=(-DSAFETY) run=(-E) result=error
	mkdir "$dir"
	cd "$dir"
	if [[ " $* " == *" -DLIVENESS "* ]]; then
		mode=()
		run+=(-a)
	fi
	local start=$SECONDS
	spin -a "$@" "$spec/$model.pml" >spin.out 2>&1 || true
	# The code that spin generates has warnings of its own.
	gcc -w -O2 -DNOREDUCE -DMEMLIM="$megabytes" "${mode[@]}" -o pan pan.c >gcc.out 2>&1 || true
	timeout "$seconds" ./pan "${run[@]}" -m"$depth" >pan.out 2>&1 || true
	if grep -qE 'assertion violated|acceptance cycle' pan.out; then
		result=violation
	elif grep -q 'errors: 0' pan.out && ! grep -qE 'max search depth too small|Search not completed' pan.out; then
		result=holds
	fi
	local states reached verdict=ok
	states=$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' pan.out)
	reached=$(sed -nE 's/.*depth reached ([0-9]+),.*/\1/p' pan.out)
	if [[ $result != "$expected" ]]; then
		verdict=FAILED
		cat spin.out gcc.out pan.out >"$work/$name.log"
	fi
	printf '%-36s %-10s %-10s %10s %8s %5ss  %s\n' \
		"$name" "$expected" "$result" "${states:--}" "${reached:--}" $((SECONDS - start)) "$verdict" >"$work/$name.line"
	rm -rf "$dir"
}

names=()
# later NAME MODEL EXPECTED MEGABYTES DEFINES... starts a search when fewer than 4 are running.
later() {
	names+=("$1")
	while (($(jobs -rp | wc -l) >= 4)); do
		wait -n
	done
	search "$@" &
}

later lease lease holds 1800 -DRESTARTS=1 -DLATE=1
later lease-live lease holds 500 -DLIVENESS -DRESTARTS=1 -DLATE=0
later singleuse singleuse holds 500 -DSENDS=3
for mutation in $(grep -oE 'MUTATION_[A-Z_]+' "$spec/lease.pml" | sort -u); do
	case $mutation in
	MUTATION_EXPIRY) later "lease-$mutation" lease violation 500 -DLIVENESS -DLATE=0 "-D$mutation" ;;
	*) later "lease-$mutation" lease violation 500 "-D$mutation" ;;
	esac
done
for mutation in $(grep -oE 'MUTATION_[A-Z_]+' "$spec/singleuse.pml" | sort -u); do
	later "singleuse-$mutation" singleuse violation 500 "-D$mutation"
done
wait

printf '%-36s %-10s %-10s %10s %8s %6s\n' search expected result states depth time
for name in "${names[@]}"; do
	cat "$work/$name.line"
done
if compgen -G "$work/*.log" >/dev/null; then
	tail -n 40 "$work"/*.log
	exit 1
fi
