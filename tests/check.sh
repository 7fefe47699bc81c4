#!/usr/bin/env bash
# Formatter, linter, all tests, then the same unit tests under sanitizers. The last line is
# "N passed, N failed"; the exit code is 0 only if nothing failed.
set -u
cd "$(dirname "$0")/.." || exit 1
jobs=$(nproc)
passed=0
failed=0

fail ()
{
  failed=$((failed + 1))
  echo "FAILED: $1"
}

# Runs a step that counts as one test.
step ()
{
  local name=$1
  shift
  if "$@" >build/check.out 2>&1; then
    passed=$((passed + 1))
  else
    tail -40 build/check.out
    fail "$name"
  fi
}

# Runs a test program, keeps its output in FILE and its exit code in FILE.rc.
run_one ()
{
  timeout 600 "$1" >"$2" 2>&1
  echo $? >"$2.rc"
}
export -f run_one

# Prints the number of failed cases in the output FILE of a test program if KNOWN-RED.txt lists all of them ("- test NAME: ..."),
# else 0.
known_failures ()
{
  local name n=0
  for name in $(grep -oE '^[a-z_0-9]+: tests/' "$1" | cut -d: -f1 | sort -u); do
    grep -q "^- test $name:" KNOWN-RED.txt 2>/dev/null || { echo 0; return; }
    n=$((n + 1))
  done
  echo "$n"
}

# Adds the counts of a test program's last line, "name: N passed, N failed".
count ()
{
  local program=$1 out=$2 rc line p f
  rc=$(cat "$out.rc")
  line=$(grep -E '[0-9]+ passed, [0-9]+ failed$' "$out" | tail -1)
  if [ -z "$line" ]; then
    tail -40 "$out"
    fail "$program (exit code $rc)"
    return
  fi
  p=$(grep -oE '[0-9]+ passed' <<<"$line" | grep -oE '[0-9]+')
  f=$(grep -oE '[0-9]+ failed' <<<"$line" | grep -oE '[0-9]+')
  passed=$((passed + p))
  if [ "$f" -ne 0 ] && [ "$f" -eq "$(known_failures "$out")" ]; then
    echo "$line, all of them listed in KNOWN-RED.txt"
    return
  fi
  failed=$((failed + f))
  if [ "$f" -ne 0 ] || [ "$rc" -ne 0 ]; then
    tail -40 "$out"
    [ "$f" -ne 0 ] || fail "$program (exit code $rc)"
  fi
  echo "$line"
}

# Runs the unit tests of one build side by side; their results are counted in order.
units ()
{
  local dir=build/$1/tests/unit logs=build/$1/logs t
  local -a programs=()
  mkdir -p "$logs"
  for t in tests/unit/test_*.c; do
    programs+=("$(basename "$t" .c)")
  done
  printf '%s\n' "${programs[@]}" | xargs -P "$jobs" -I{} bash -c "run_one '$dir/{}' '$logs/{}'"
  for t in "${programs[@]}"; do
    count "$dir/$t" "$logs/$t"
  done
}

mkdir -p build
step build make -j"$jobs" all
step format make check-format
step lint make -j"$jobs" check-lint
step names make check-names
units release
for v in asan tsan; do
  step "build $v" make -j"$jobs" VARIANT=$v tests
  units $v
done
# A fixed set of randomised runs, and each deliberate fault with the invariant that catches it.
step "soak" build/release/soak --seed 1 --runs 2000 --jobs "$jobs"
step "soak-drills" build/release/soak --drills --seed 1 --runs 1000 --jobs "$jobs"
step "soak-faults" build/release/soak --faults --seed 1 --runs 200 --jobs "$jobs"
step "soak-processes" build/release/procsoak --seed 1 --minutes 0.2
for t in tests/process/*.sh; do
  run_one "$t" build/process.out
  count "$t" build/process.out
done
grep '^- ' KNOWN-RED.txt 2>/dev/null | sed 's/^- /known, not part of this check: /'
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
