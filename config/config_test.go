package config

import (
	"strings"
	"testing"
)

const good = `
node_name = "n-0"
location = "a"
bind = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
novelty = true
[services]
cloud = "c:1"
state = "s:1"
[cluster]
size = 1
zones = ["a"]
skew_ms = 5.0
[cluster.workers]
report_s = 1.5
lease_s = 12.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 32.0
[cluster.state]
rps = 70.0
write_rps = 25.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 4.0
list_lag_s = 8.0
[cluster.limits]
cpu = 0.1
mem_mb = 98.0
sockets = 800
`

// Guards against invalid settings that are accepted, and against errors that don't name the field.
// Unknown fields are accepted.
func TestParseNamesInvalidField(t *testing.T) {
	if _, err := Parse(good); err != nil {
		t.Fatalf("good settings with an unknown field: %v", err)
	}
	for _, c := range []struct{ from, to, field string }{
		{`bind = "127.0.0.1:1"`, ``, "bind is missing"},
		{`lease_s = 12.0`, `lease_s = -1.0`, "cluster.workers.lease_s"},
		{`cancel_s = 32.0`, `cancel_s = 12.0`, "cluster.workers.cancel_s"},
		{`size = 1`, `size = "three"`, "size"},
		{`cancel_s = 32.0`, `cancel_s = 13.9`, "must be 2 s above lease_s"},
		{"lease_s = 12.0\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = 32.0",
			"lease_s = 4000.0\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = 4003.0", "too near to lease_s"},
		{`txn_ops = 12`, `txn_ops = 0`, "cluster.state.txn_ops"},
		{`state = "s:1"`, `state = ""`, "services.state"},
	} {
		_, err := Parse(strings.Replace(good, c.from, c.to, 1))
		if err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: error %v does not name %s", c.to, err, c.field)
		}
	}
}

// Guards against an invalid tuning file that is accepted, and against errors that don't name the
// field. Unlike in the settings, an unknown field is an error.
func TestParseTuningNamesInvalidField(t *testing.T) {
	if _, err := ParseTuning("[rebalance]\nbudget = 2\n"); err != nil {
		t.Fatal(err)
	}
	for text, field := range map[string]string{
		"[rebalance]\nbudgett = 2\n": "budgett",
		"[[rebalance.policies]]\nresource='cpus'\nweight=0.7\nthreshold=0.2\ncapacity_threshold=0.9\n":                    "sum to 0.7",
		"[[rebalance.policies]]\nresource='cpus'\nweight=1.0\nthreshold=1.2\ncapacity_threshold=0.9\n":                    "threshold",
		"[[rebalance.policies]]\nresource='cpus'\nweight=1.0\nthreshold=0.2\ncapacity_threshold=0.0\n[renting]\nidle_s=1": "capacity_threshold",
		"[renting]\nidle_s = 0.0\n":         "idle_s",
		"[serving]\nbegin_within_s = 5.0\n": "begin_within_s",
	} {
		if _, err := ParseTuning(text); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%q: error %v does not name %s", text, err, field)
		}
	}
}

// Durations without an upper bound were accepted. config.Seconds converted a value beyond the range
// of time.Duration, such as inf, to a negative duration, so a cooldown of inf ended before it began,
// without a log line. Durations that are too large, negative or not a number must be rejected with
// the field's name.
func TestUnusableDurationsAreRefused(t *testing.T) {
	durations := map[string]string{ // settings: the line of each field in good
		"cluster.skew_ms":             "skew_ms = 5.0",
		"cluster.workers.report_s":    "report_s = 1.5",
		"cluster.workers.lease_s":     "lease_s = 12.0",
		"cluster.workers.gang_wait_s": "gang_wait_s = 50.0",
		"cluster.workers.gang_peer_s": "gang_peer_s = 8.0",
		"cluster.workers.cancel_s":    "cancel_s = 32.0",
		"cluster.cloud.list_lag_s":    "list_lag_s = 8.0",
	}
	tuned := []string{"rebalance.every_s", "rebalance.cooldown_s", "rebalance.rest_s", "rebalance.quarantine_s",
		"rebalance.long_running_s", "renting.idle_s", "serving.begin_within_s"}
	for _, value := range []string{"inf", "-inf", "nan", "-1.0", "1e10", "1e300"} {
		for field, line := range durations {
			name, _, _ := strings.Cut(line, " ")
			if _, err := Parse(strings.Replace(good, line, name+" = "+value, 1)); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s = %s: error %v does not name the field", field, value, err)
			}
		}
		for _, within := range []string{"within_s", "times"} {
			text := good + "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"c\"\n" + within + " = " + value + "\n"
			if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), "cluster.objectives[0]."+within) {
				t.Errorf("%s = %s: error %v does not name the field", within, value, err)
			}
		}
		for _, field := range tuned {
			table, name, _ := strings.Cut(field, ".")
			if _, err := ParseTuning("[" + table + "]\n" + name + " = " + value + "\n"); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s = %s: error %v does not name the field", field, value, err)
			}
		}
	}
}

// The largest transactions that can't be divided have three changes. A key-value store that accepts
// fewer changes per second or per transaction rejects them forever, so that jobs are accepted but
// never end.
func TestLimitsOfTheStoreThatCanNotWorkAreRefused(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{"write_rps = 25.0", "write_rps = 1.0", "cluster.state.write_rps"},
		{"write_rps = 25.0", "write_rps = 2.9", "cluster.state.write_rps"},
		{"write_rps = 25.0", "write_rps = inf", "cluster.state.write_rps"},
		{"rps = 70.0", "rps = inf", "cluster.state.rps"},
		{"txn_ops = 12", "txn_ops = 1", "cluster.state.txn_ops"},
		{"txn_ops = 12", "txn_ops = 2", "cluster.state.txn_ops"},
	} {
		if _, err := Parse(strings.Replace(good, c.from, c.to, 1)); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: error %v does not name %s", c.to, err, c.field)
		}
	}
	for _, to := range []string{"write_rps = 3.0", "txn_ops = 3"} {
		name, _, _ := strings.Cut(to, " ")
		from := map[string]string{"write_rps": "write_rps = 25.0", "txn_ops": "txn_ops = 12"}[name]
		if _, err := Parse(strings.Replace(good, from, to, 1)); err != nil {
			t.Errorf("%s: got error %v, want none", to, err)
		}
	}
}

// The example file for operators in deploy/ is valid.
func TestExampleTuningIsValid(t *testing.T) {
	got, err := LoadTuning("../deploy/operations.toml")
	if err != nil {
		t.Fatal(err)
	}
	if got.Metrics.Listen == "" || !got.Launches.WakeWorkers {
		t.Errorf("got %+v, want a metrics address and WakeWorkers", got)
	}
}
