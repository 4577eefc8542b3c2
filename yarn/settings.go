package yarn

import (
	"errors"
	"fmt"
	"math"
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

// Settings is the operators' file for YARN's protocols.
type Settings struct {
	Listen           string     `toml:"listen"`     // Hadoop RPC, all protocols
	Advertise        string     `toml:"advertise"`  // where clients reach Listen, if that differs
	REST             string     `toml:"rest"`       // the ResourceManager's REST interface; empty: none
	Networks         []string   `toml:"networks"`   // address prefixes from which clients may connect; none: all
	MasterTimeoutS   float64    `toml:"master_s"`   // without a master's heartbeat, until its application fails
	StartTimeoutS    float64    `toml:"start_s"`    // from a container's allocation until it must be started
	KeyRollIntervalS float64    `toml:"key_roll_s"` // between additions of a signing key
	MaxApps          int        `toml:"max_apps"`   // most unfinished applications
	MaxConns         int        `toml:"max_connections"`
	MaxCalls         int        `toml:"max_calls"` // most calls at the same time
	Image            string     `toml:"image"`     // that a machine needs to run containers
	ImageGB          float64    `toml:"image_gb"`
	EstimateS        float64    `toml:"estimate_s"` // how long a container is expected to run
	PreemptGraceS    float64    `toml:"grace_s"`    // between a preemption message and the container's end
	Queues           []Queue    `toml:"queues"`
	Priorities       []Priority `toml:"priorities"`
	Labels           []Label    `toml:"labels"`
	Resources        []Resource `toml:"resources"`

	prefixes *bart.Lite // Networks
}

// Queue maps a queue to a team.
type Queue struct {
	Path  string `toml:"path"`
	Team  string `toml:"team"`
	Class string `toml:"class"` // of the jobs; empty: defaultJobClass
}

// Priority maps YARN's priorities from AtLeast upward to a native one.
type Priority struct {
	AtLeast int    `toml:"at_least"`
	Native  string `toml:"native"`
}

// Label maps a node label to the machines that it allows.
type Label struct {
	Name  string   `toml:"name"`
	Types []string `toml:"types"`
	Zone  string   `toml:"zone"`
	Spot  bool     `toml:"spot"`
}

// Resource names a resource of YARN's API whose units are GPUs.
type Resource struct {
	Name string `toml:"name"`
	GPUs int    `toml:"gpus"` // in each unit
}

// DefaultSettings returns the values of fields that a file leaves out.
func DefaultSettings() Settings {
	return Settings{
		MasterTimeoutS:   600,
		StartTimeoutS:    600,
		KeyRollIntervalS: 86400,
		MaxApps:          1000,
		MaxConns:         256,
		MaxCalls:         128,
		Image:            "yarn",
		EstimateS:        600,
		PreemptGraceS:    5,
		Priorities:       []Priority{{AtLeast: 0, Native: wire.PriorityNormal}},
		Resources:        []Resource{{Name: "yarn.io/gpu", GPUs: 1}},
	}
}

// LoadSettings reads the file and checks it against the platform's settings.
func LoadSettings(path string, c *config.Settings) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("yarn: %w", err)
	}
	return ParseSettings(string(text), c)
}

// ParseSettings parses and checks a file's text. The error names every invalid field.
func ParseSettings(text string, c *config.Settings) (*Settings, error) {
	s := DefaultSettings()
	priorities, resources := s.Priorities, s.Resources
	s.Priorities, s.Resources = nil, nil // a list in the file replaces the default list as a whole
	metadata, err := toml.Decode(text, &s)
	if err != nil {
		return nil, fmt.Errorf("yarn: %w", err)
	}
	if s.Priorities == nil {
		s.Priorities = priorities
	}
	if s.Resources == nil {
		s.Resources = resources
	}
	check := settingsCheck{settings: &s}
	for _, key := range metadata.Undecoded() {
		check.fail("%s is not a setting", key)
	}
	check.run(c)
	s.prefixes = check.prefixes
	if len(check.errs) > 0 {
		return nil, errors.Join(check.errs...)
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	return &s, nil
}

// leafName returns the last part of a queue's path.
func leafName(path string) string { return path[strings.LastIndexByte(path, '.')+1:] }

// defaultQueue is the queue of submissions that name none.
const defaultQueue = "default"

// queue finds a queue by its path or the last part of it. An empty name, or defaultQueue if no
// queue is called so, means the first queue.
func (s *Settings) queue(name string) (*Queue, bool) {
	for i := range s.Queues {
		if q := &s.Queues[i]; q.Path == name || leafName(q.Path) == name {
			return q, true
		}
	}
	if name == "" || name == defaultQueue {
		return &s.Queues[0], true
	}
	return nil, false
}

// nativePriority maps a priority to a native one: that of the highest AtLeast which it reaches,
// or normal priority if it reaches none.
func (s *Settings) nativePriority(priority int) string {
	highest, native := math.MinInt32, wire.PriorityNormal
	for _, p := range s.Priorities {
		if priority >= p.AtLeast && p.AtLeast >= highest {
			highest, native = p.AtLeast, p.Native
		}
	}
	return native
}

// label finds a node label; the empty one allows all machines.
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

// Allow reports whether a client may connect from an address.
func (s *Settings) Allow(a net.Addr) bool {
	if len(s.Networks) == 0 {
		return true
	}
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return false
	}
	ip, ok := netip.AddrFromSlice(tcp.IP)
	return ok && s.prefixes.Contains(ip.Unmap())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
