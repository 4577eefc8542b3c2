package yarn

import (
	"net"
	"strings"
	"testing"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

var platform = &config.Settings{Cluster: config.Cluster{Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "core"}}}}

// The error of ParseSettings names every invalid field.
func TestParseSettingsNamesEveryBadField(t *testing.T) {
	_, err := ParseSettings(`
listen = "nowhere"
rest = "also:no:where"
networks = ["10.0.0.0/8", "ten"]
master_s = 0.0
max_calls = -1
queue = "misspelt"
[[queues]]
path = "root.core"
team = "cores"
[[queues]]
path = "other.core"
team = "core"
[[priorities]]
native = "highest"
[[labels]]
name = "far"
zone = "c"
[[resources]]
name = ""
`, platform)
	for _, want := range []string{"listen must", "rest must", "networks[1]", "master_s must", "max_calls must", "queue is not a setting", "queues[0].team",
		"queues[1].path", "priorities[0].native", "labels[0].zone", "resources[0]"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error does not contain %q: %v", want, err)
		}
	}
}

// Settings map queues and priorities, and decide from which addresses clients may connect.
func TestSettingsMapQueuesPrioritiesAndAddresses(t *testing.T) {
	s, err := ParseSettings(`
listen = "127.0.0.1:8032"
networks = ["10.1.0.0/16", "127.0.0.1/32"]
[[queues]]
path = "root.city.core"
team = "core"
[[priorities]]
at_least = 10
native = "urgent"
[[priorities]]
at_least = 0
native = "best_effort"
`, platform)
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]bool{"core": true, "root.city.core": true, "default": true, "": true, "city": false, "root": false} {
		if _, ok := s.queue(name); ok != want {
			t.Errorf("queue %q found: got %v, want %v", name, ok, want)
		}
	}
	for priority, want := range map[int]string{-1: wire.PriorityNormal, 0: wire.PriorityLow, 9: wire.PriorityLow, 10: wire.PriorityHigh, 99: wire.PriorityHigh} {
		if got := s.nativePriority(priority); got != want {
			t.Errorf("priority %d: got %s, want %s", priority, got, want)
		}
	}
	for ip, want := range map[string]bool{"10.1.255.3": true, "10.2.0.1": false, "127.0.0.1": true, "::1": false} {
		if got := s.Allow(&net.TCPAddr{IP: net.ParseIP(ip)}); got != want {
			t.Errorf("address %s allowed: got %v, want %v", ip, got, want)
		}
	}
}

// Parsing reverses the encoding of tags, ids and tokens, and malformed tokens are refused.
func TestTagsIDsAndTokensRoundTrip(t *testing.T) {
	k := containerRequest{Priority: -3, AllocationRequestID: -1, ResourceName: "/a", RelaxLocality: true, NodeLabel: "cheap", MemoryMB: 4096, VCores: 2, GPUs: 1, GPUName: "yarn.io/gpu"}
	if got := parseTag(k.tag()); got.tag() != k.tag() || got.MemoryMB != 4096 || got.GPUs != 1 || !got.RelaxLocality {
		t.Errorf("tag %q is parsed as %+v", k.tag(), got)
	}
	for seq := range 3 {
		for _, task := range []int{0, 1, maxJobContainers - 1} {
			id := jobID(7, seq)
			if s, n := splitContainerNumber(containerNumber(seq, task)); s != seq || n != task || jobSeq(id) != seq {
				t.Errorf("container %d/%d is read as %d/%d, job %s as %d", seq, task, s, n, id, jobSeq(id))
			}
			if wire.ValidUserID(id) || !wire.ValidID(id) {
				t.Errorf("job id %s is valid for a user's job, or not valid at all", id)
			}
		}
	}
	key, err := newSigningKey(3)
	if err != nil {
		t.Fatal(err)
	}
	ring := keyring{Keys: []signingKey{key}}
	signed, err := ring.issue(token{kind: masterToken, clusterTimestamp: 5, application: 6, attempt: 1}, "")
	if err != nil {
		t.Fatal(err)
	}
	got, err := parseToken(signed.GetIdentifier())
	if err != nil || got.application != 6 || got.key != 3 {
		t.Errorf("token %s is parsed as %+v, error %v", signed.GetIdentifier(), got, err)
	}
	for _, bad := range []string{"", "am/5/6/1/3", "am/5/6/1/3/0/9", "am/5/06/1/3/0", "am/x/6/1/3/0"} {
		if _, err := parseToken([]byte(bad)); err == nil {
			t.Errorf("malformed token %q is accepted", bad)
		}
	}
	if _, err := (&keyring{}).sign(3, "x"); err == nil {
		t.Error("a key that is not in the keyring signs")
	}
}
