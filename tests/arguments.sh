#!/bin/sh
# Tests the program's command line and its checks of the settings. Guards against a program that starts with
# wrong settings or arguments, or refuses them with a message that does not name the file, the field and the
# reason. Wrong settings and arguments must end it with status 2.
# Usage: arguments.sh PROGRAM
program=$1
dir=$(mktemp -d)
trap 'rm -r "$dir"' EXIT
failed=0

# Runs the program and checks its exit status, and that its output matches the pattern (of grep).
expect() { # expect STATUS PATTERN ARGUMENTS...
	expected=$1 pattern=$2
	shift 2
	out=$(timeout 10 "$program" "$@" 2>&1)
	status=$?
	if [ $status -ne "$expected" ] || ! printf '%s' "$out" | grep -q -- "$pattern"; then
		echo "FAIL: $program $*: exit status $status, expected $expected; output expected to match '$pattern': $out"
		failed=1
	fi
}

cat >"$dir/good.toml" <<'T'
label = "n0"
location = "a"
front = "127.0.0.1:1"
back = "127.0.0.1:2"
something_new = 3
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[[facts.teams]]
name = "core"
[facts.workers]
report_s = 3.0
lease_s = 22.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 47.0
[facts.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 16
[facts.cloud]
rps = 5.0
list_lag_s = 6.0
[facts.resources]
cores = 0.048
mem_mb = 104.0
max_connections = 1800
T
printf 'rentals {\n  # keep idle machines for a minute\n  idle_patience_s = 60\n}\n' >"$dir/good.hcl"
printf 'rentals {\n  patience = 60\n}\n' >"$dir/unknown.hcl"
printf 'rentals {\n  headroom = -1\n}\n' >"$dir/range.hcl"
sed 's/^lease_s.*/lease_s = "long"/' "$dir/good.toml" >"$dir/type.toml"
sed '/^cancel_s/d' "$dir/good.toml" >"$dir/missing.toml"
sed 's/^report_s.*/report_s = 0/' "$dir/good.toml" >"$dir/zero.toml"
sed 's/^front.*/front = "nowhere"/' "$dir/good.toml" >"$dir/addr.toml"
printf 'label = \n' >"$dir/syntax.toml"
# Writes the valid settings with a table of upcoming limits, which has this one field.
write_next_limits() { # write_next_limits FILE LINE
	printf '[facts.state.next]\n%s\n' "$2" | cat "$dir/good.toml" - >"$dir/$1"
}
write_next_limits next_good.toml 'value_kb = 2.0'
write_next_limits next_type.toml 'txn_ops = "5"'
write_next_limits next_zero.toml 'write_rps = 0'
write_next_limits next_ops.toml 'txn_ops = 1'
write_next_limits next_value.toml 'value_kb = -2.0'
sed 's/^\[facts.state\]/&\nnext = 3/' "$dir/good.toml" >"$dir/next_table.toml"
printf 'records {\n  hold_format = true\n}\n' >"$dir/hold.hcl"
printf 'records {\n  hold_format = 3\n}\n' >"$dir/hold_type.hcl"

expect 0 'settings are valid' --check --config "$dir/good.toml"
expect 0 'settings are valid' --check --config "$dir/good.toml" --operator-config "$dir/good.hcl"
expect 2 'unknown.hcl.*patience' --check --config "$dir/good.toml" --operator-config "$dir/unknown.hcl"
expect 2 'range.hcl: field rentals.headroom' --check --config "$dir/good.toml" --operator-config "$dir/range.hcl"
expect 2 'none.hcl: cannot be read' --check --config "$dir/good.toml" --operator-config "$dir/none.hcl"
expect 2 'type.toml: field facts.workers.lease_s: must be a number' --config "$dir/type.toml"
expect 2 'missing.toml: field facts.workers.cancel_s: missing' --config "$dir/missing.toml"
expect 2 'zero.toml: field facts.workers.report_s: must be above zero' --config "$dir/zero.toml"
expect 2 'addr.toml: field front: must be HOST:PORT' --config "$dir/addr.toml"
expect 0 'settings are valid' --check --config "$dir/next_good.toml"
expect 2 'next_type.toml: field facts.state.next.txn_ops: must be a number' --check --config "$dir/next_type.toml"
expect 2 'next_zero.toml: field facts.state.next.write_rps: must be' --check --config "$dir/next_zero.toml"
expect 2 'next_ops.toml: field facts.state.next.txn_ops: must be' --check --config "$dir/next_ops.toml"
expect 2 'next_value.toml: field facts.state.next.value_kb: must be' --check --config "$dir/next_value.toml"
expect 2 'next_table.toml: field facts.state.next: must be a table' --check --config "$dir/next_table.toml"
expect 0 'settings are valid' --check --config "$dir/good.toml" --operator-config "$dir/hold.hcl"
expect 2 'hold_type.hcl' --check --config "$dir/good.toml" --operator-config "$dir/hold_type.hcl"
expect 2 'syntax.toml:1' --config "$dir/syntax.toml"
expect 2 'none.toml' --config "$dir/none.toml"
expect 2 'config FILE is needed' --check
expect 2 'unexpected argument' --config "$dir/good.toml" more
expect 2 'unrecognized option' --nonsense
expect 0 'ploverloft [0-9]' --version
expect 0 'operator-config' --help
exit $failed
