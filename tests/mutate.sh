#!/usr/bin/env bash
# Mutation testing: applies one mutation at a time to a scratch copy and checks that the named test fails. Prints one line per mutation;
# the exit status is 1 if a test passes, or if a mutation changes nothing or does not compile. Usage: tests/mutate.sh [NAME-PATTERN]
set -u
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
status=0

# mutate NAME FILE PACKAGE TEST PERL-EXPRESSION
mutate() {
  local name=$1 file=$2 package=$3 test=$4 expression=$5
  [[ "$name" =~ ${pattern:-.} ]] || return 0
  rm -rf "$scratch/tree"
  mkdir -p "$scratch/tree"
  git ls-files -co --exclude-standard | tar -cf - -T - 2>/dev/null | tar -xf - -C "$scratch/tree"
  perl -0pi -e "$expression" "$scratch/tree/$file"
  if cmp -s "$file" "$scratch/tree/$file"; then
    echo "$name: the mutation changes nothing"
    status=1
    return
  fi
  local output
  output=$(cd "$scratch/tree" && go test -count=1 -timeout 120s "$package" -run "$test" 2>&1)
  if [ $? -eq 0 ]; then
    echo "$name: NOT noticed by $test"
    status=1
  elif grep -q 'build failed\|setup failed' <<<"$output"; then
    echo "$name: does not compile"
    grep -m3 '\.go:' <<<"$output"
    status=1
  elif grep -q 'panic: test timed out' <<<"$output"; then
    echo "$name: noticed, $(grep -m1 -oE 'Test[A-Za-z]+ \([0-9a-z]+\)' <<<"$output") has no end"
  else
    echo "$name: noticed by $(grep -oE -- '--- FAIL: [A-Za-z]+' <<<"$output" | cut -d' ' -f3 | sort -u | paste -sd' ') $(grep -m1 -oE '\[rapid\] (failed|panic).*' <<<"$output" | cut -c1-120)"
  fi
}

pattern=${1:-}
. tests/mutations.sh
exit $status
