// The settings of the YARN front end.

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

// Settings are the settings of the YARN front end, read from a TOML file. Fields ending in S are in
// seconds.
type Settings struct {
	Listen               string     `toml:"listen"`          // address of the RPC server
	Advertise            string     `toml:"advertise"`       // address at which clients reach Listen; empty: Listen
	REST                 string     `toml:"rest"`            // address of the REST interface; empty: none
	Networks             []string   `toml:"networks"`        // address prefixes from which clients may connect; empty: all
	MasterTimeoutS       float64    `toml:"master_s"`        // time without a heartbeat of the master until its application fails
	StartTimeoutS        float64    `toml:"start_s"`         // time from the allocation of a container until it must be started
	KeyRotationIntervalS float64    `toml:"key_roll_s"`      // interval between rotations of the signing key
	MaxApps              int        `toml:"max_apps"`        // maximum number of unfinished applications
	MaxConns             int        `toml:"max_connections"` // maximum number of RPC connections
	MaxCalls             int        `toml:"max_calls"`       // maximum number of concurrent calls
	Image                string     `toml:"image"`           // image that a machine needs to run containers
	ImageGB              float64    `toml:"image_gb"`        // size of Image
	EstimateS            float64    `toml:"estimate_s"`      // expected run time of a container
	PreemptGraceS        float64    `toml:"grace_s"`         // time from a preemption message to the end of the container
	Queues               []Queue    `toml:"queues"`
	Priorities           []Priority `toml:"priorities"`
	Labels               []Label    `toml:"labels"`
	Resources            []Resource `toml:"resources"`

	prefixes *bart.Lite // parsed Networks
}

// Queue maps a YARN queue to a team.
type Queue struct {
	Path  string `toml:"path"` // queue names separated by dots, such as root.core
	Team  string `toml:"team"`
	Class string `toml:"class"` // class of the queue's jobs; empty: defaultJobClass
}

// Priority maps YARN priorities of AtLeast and above to a native priority.
type Priority struct {
	AtLeast int    `toml:"at_least"`
	Native  string `toml:"native"` // one of the priorities of package wire, such as wire.PriorityNormal
}

// Label maps a node label to the machines that it allows.
type Label struct {
	Name  string   `toml:"name"`
	Types []string `toml:"types"` // allowed machine types; empty: all
	Zone  string   `toml:"zone"`  // the only allowed zone; empty: all zones
	Spot  bool     `toml:"spot"`  // whether spot machines are allowed too
}

// Resource maps a resource name of YARN's API to GPUs.
type Resource struct {
	Name string `toml:"name"`
	GPUs int    `toml:"gpus"` // GPUs in each unit of the resource
}

// DefaultSettings returns the settings with the default values of optional fields.
func DefaultSettings() Settings {
	return Settings{
		MasterTimeoutS:       600,
		StartTimeoutS:        600,
		KeyRotationIntervalS: 86400,
		MaxApps:              1000,
		MaxConns:             256,
		MaxCalls:             128,
		Image:                "yarn",
		EstimateS:            600,
		PreemptGraceS:        5,
		Priorities:           []Priority{{AtLeast: 0, Native: wire.PriorityNormal}},
		Resources:            []Resource{{Name: "yarn.io/gpu", GPUs: 1}},
	}
}

// LoadSettings reads a settings file and checks it against the platform's settings, as
// ParseSettings does.
func LoadSettings(path string, c *config.Settings) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("yarn: %w", err)
	}
	return ParseSettings(string(text), c)
}

// ParseSettings parses and checks the text of a settings file. The teams and zones in it must exist
// in the platform's settings. The error names every invalid field.
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

// leafName returns the last name in the path of a queue.
func leafName(path string) string { return path[strings.LastIndexByte(path, '.')+1:] }

// defaultQueue is the queue name in submissions that choose no queue.
const defaultQueue = "default"

// queue returns the queue with the given path or leaf name. For an empty name it returns the first
// queue. It does the same for defaultQueue if no queue has this name.
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

// nativePriority returns the native priority for a YARN priority: that of the highest AtLeast that
// is not above it, or normal priority if there is none.
func (s *Settings) nativePriority(priority int) string {
	highest, native := math.MinInt32, wire.PriorityNormal
	for _, p := range s.Priorities {
		if priority >= p.AtLeast && p.AtLeast >= highest {
			highest, native = p.AtLeast, p.Native
		}
	}
	return native
}

// label returns the node label with the given name. The empty label allows all machines
// except spot machines.
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

// Allow reports whether clients may connect from an address.
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
