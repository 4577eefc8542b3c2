// Package yarn lets clients that speak YARN's application API run their work on
// the same core as native jobs. An application's containers are tasks of reserved
// jobs (jobstore.Reservation): placed, counted, drained and preempted like all others.
// What is known of an application stands in the state service, so that any node
// may serve it; docs/yarn.md says which choices that rests on.
package yarn

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/gaissmai/bart"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// Settings is the operators' file for this interface.
type Settings struct {
	Listen    string     `toml:"listen"`     // Hadoop RPC, all protocols
	Advertise string     `toml:"advertise"`  // where clients reach Listen, if that differs
	REST      string     `toml:"rest"`       // the ResourceManager's REST interface; empty: none
	Networks  []string   `toml:"networks"`   // prefixes that may reach the front end; none: all
	MasterS   float64    `toml:"master_s"`   // without a heartbeat, until an application is given up
	StartS    float64    `toml:"start_s"`    // from a container's allocation until it must be started
	KeyRollS  float64    `toml:"key_roll_s"` // until a new key signs tokens
	MaxApps   int        `toml:"max_apps"`   // unfinished applications
	MaxConns  int        `toml:"max_connections"`
	MaxCalls  int        `toml:"max_calls"` // under way at once
	Image     string     `toml:"image"`     // that containers' machines need
	ImageGB   float64    `toml:"image_gb"`
	EstimateS float64    `toml:"estimate_s"` // how long a container is expected to run
	GraceS    float64    `toml:"grace_s"`    // between the message of a preemption and its end
	Queues    []Queue    `toml:"queues"`
	Ranks     []Rank     `toml:"priorities"`
	Labels    []Label    `toml:"labels"`
	Resources []Resource `toml:"resources"`

	prefixes *bart.Lite
}

// Queue leads a queue's path to a team.
type Queue struct {
	Path  string `toml:"path"`
	Team  string `toml:"team"`
	Class string `toml:"class"` // of the jobs; empty: "yarn"
}

// Rank leads priorities from AtLeast on to a native one.
type Rank struct {
	AtLeast int    `toml:"at_least"`
	Native  string `toml:"native"`
}

// Label leads a node label to what machines it allows.
type Label struct {
	Name  string   `toml:"name"`
	Types []string `toml:"types"`
	Zone  string   `toml:"zone"`
	Spot  bool     `toml:"spot"`
}

// Resource names what counts as a GPU.
type Resource struct {
	Name string `toml:"name"`
	GPUs int    `toml:"gpus"` // for each unit
}

// DefaultSettings is what holds for fields that a file leaves out.
func DefaultSettings() Settings {
	return Settings{MasterS: 600, StartS: 600, KeyRollS: 86400, MaxApps: 1000, MaxConns: 256, MaxCalls: 128,
		Image: "yarn", EstimateS: 600, GraceS: 5,
		Ranks:     []Rank{{AtLeast: 0, Native: wire.PriorityNormal}},
		Resources: []Resource{{Name: "yarn.io/gpu", GPUs: 1}}}
}

// LoadSettings reads the file and checks it against the platform's settings.
func LoadSettings(path string, c *config.Settings) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("yarn: %w", err)
	}
	return ParseSettings(string(text), c)
}

// ParseSettings checks a file's text. The error names every bad field.
func ParseSettings(text string, c *config.Settings) (*Settings, error) {
	s := DefaultSettings()
	ranks, resources := s.Ranks, s.Resources
	s.Ranks, s.Resources = nil, nil
	md, err := toml.Decode(text, &s)
	if err != nil {
		return nil, fmt.Errorf("yarn: %w", err)
	}
	if s.Ranks == nil {
		s.Ranks = ranks
	}
	if s.Resources == nil {
		s.Resources = resources
	}
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf("yarn: "+format, args...)) }
	for _, k := range md.Undecoded() {
		bad("%s is not a setting", k)
	}
	s.checkPlain(bad)
	s.checkNames(c, bad)
	s.prefixes = new(bart.Lite)
	for i, n := range s.Networks {
		p, err := netip.ParsePrefix(n)
		if err != nil {
			bad("networks[%d]: %v", i, err)
			continue
		}
		s.prefixes.Insert(p.Masked())
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	return &s, nil
}

func (s *Settings) checkPlain(bad func(string, ...any)) {
	for _, a := range []struct {
		name, v string
		need    bool
	}{{"listen", s.Listen, true}, {"advertise", s.Advertise, false}, {"rest", s.REST, false}} {
		if a.v == "" && !a.need {
			continue
		}
		if _, _, err := net.SplitHostPort(a.v); err != nil {
			bad("%s must be a host and a port: %v", a.name, err)
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"master_s", s.MasterS}, {"start_s", s.StartS}, {"key_roll_s", s.KeyRollS}, {"estimate_s", s.EstimateS}} {
		if !(f.v > 0) {
			bad("%s must be above 0", f.name)
		}
	}
	for _, f := range []struct {
		name string
		v    int
	}{{"max_apps", s.MaxApps}, {"max_connections", s.MaxConns}, {"max_calls", s.MaxCalls}} {
		if f.v < 1 {
			bad("%s must be at least 1", f.name)
		}
	}
	if !(s.GraceS >= 0) || !(s.ImageGB >= 0) {
		bad("grace_s and image_gb must not be negative")
	}
}

func (s *Settings) checkNames(c *config.Settings, bad func(string, ...any)) {
	teams, zones := map[string]bool{}, map[string]bool{}
	for _, t := range c.Cluster.Teams {
		teams[t.Name] = true
	}
	for _, z := range c.Cluster.Zones {
		zones[z] = true
	}
	seen := map[string]bool{}
	if len(s.Queues) == 0 {
		bad("queues: none is named")
	}
	for i, q := range s.Queues {
		if q.Path == "" || seen[q.Path] || seen[leaf(q.Path)] {
			bad("queues[%d].path must be set, and its last part unlike the others'", i)
		}
		seen[q.Path], seen[leaf(q.Path)] = true, true
		if !teams[q.Team] {
			bad("queues[%d].team: there is no team %q", i, q.Team)
		}
	}
	for i, r := range s.Ranks {
		switch r.Native {
		case wire.PriorityProduction, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow:
		default:
			bad("priorities[%d].native: there is no priority %q", i, r.Native)
		}
	}
	for i, l := range s.Labels {
		if l.Name == "" {
			bad("labels[%d].name must be set", i)
		}
		if l.Zone != "" && !zones[l.Zone] {
			bad("labels[%d].zone: there is no zone %q", i, l.Zone)
		}
	}
	for i, r := range s.Resources {
		if r.Name == "" || r.GPUs < 1 {
			bad("resources[%d] needs a name and gpus above 0", i)
		}
	}
}

func leaf(path string) string { return path[strings.LastIndexByte(path, '.')+1:] }

// queue finds a queue by its path or the last part of it; an empty name or
// "default" is the first.
func (s *Settings) queue(name string) (*Queue, bool) {
	for i := range s.Queues {
		if q := &s.Queues[i]; q.Path == name || leaf(q.Path) == name {
			return q, true
		}
	}
	if name == "" || name == "default" {
		return &s.Queues[0], true
	}
	return nil, false
}

// rank is the native priority of a number; of those that reach it the highest
// threshold counts.
func (s *Settings) rank(priority int) string {
	best, out := -1<<31, wire.PriorityNormal
	for _, r := range s.Ranks {
		if priority >= r.AtLeast && r.AtLeast >= best {
			best, out = r.AtLeast, r.Native
		}
	}
	return out
}

func (s *Settings) label(name string) (Label, bool) {
	if name == "" {
		return Label{}, true
	}
	for _, l := range s.Labels {
		if l.Name == name {
			return l, true
		}
	}
	return Label{}, false
}

// Allow says whether a client's address may reach the front end.
func (s *Settings) Allow(a net.Addr) bool {
	if len(s.Networks) == 0 {
		return true
	}
	t, ok := a.(*net.TCPAddr)
	if !ok {
		return false
	}
	ip, ok := netip.AddrFromSlice(t.IP)
	return ok && s.prefixes.Contains(ip.Unmap())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
