// Validation of the settings of the YARN front end.

package yarn

import (
	"fmt"
	"net"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// settingsCheck validates settings and collects all errors.
type settingsCheck struct {
	settings *Settings
	prefixes *bart.Lite // the valid prefixes of Settings.Networks
	errs     []error
}

func (c *settingsCheck) fail(format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("yarn: "+format, args...))
}

// run checks all fields. Teams and zones must exist in the platform's settings.
func (c *settingsCheck) run(platform *config.Settings) {
	c.checkAddresses()
	c.checkNumbers()
	c.checkQueues(platform.Cluster.Teams)
	c.checkPriorities()
	c.checkLabels(platform.Cluster.Zones)
	c.checkResources()
	c.checkNetworks()
}

func (c *settingsCheck) checkAddresses() {
	for _, address := range []struct {
		name, value string
		required    bool
	}{
		{"listen", c.settings.Listen, true},
		{"advertise", c.settings.Advertise, false},
		{"rest", c.settings.REST, false},
	} {
		if address.value == "" && !address.required {
			continue
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			c.fail("%s must be a host and a port: %v", address.name, err)
		}
	}
}

func (c *settingsCheck) checkNumbers() {
	for _, span := range []struct {
		name  string
		value float64
	}{
		{"master_s", c.settings.MasterTimeoutS},
		{"start_s", c.settings.StartTimeoutS},
		{"key_roll_s", c.settings.KeyRotationIntervalS},
		{"estimate_s", c.settings.EstimateS},
	} {
		if !(span.value > 0) {
			c.fail("%s must be above 0", span.name)
		}
	}
	for _, limit := range []struct {
		name  string
		value int
	}{
		{"max_apps", c.settings.MaxApps},
		{"max_connections", c.settings.MaxConns},
		{"max_calls", c.settings.MaxCalls},
	} {
		if limit.value < 1 {
			c.fail("%s must be at least 1", limit.name)
		}
	}
	if !(c.settings.PreemptGraceS >= 0) || !(c.settings.ImageGB >= 0) {
		c.fail("grace_s and image_gb must not be negative")
	}
}

func (c *settingsCheck) checkQueues(teams []config.Team) {
	isTeam := map[string]bool{}
	for _, team := range teams {
		isTeam[team.Name] = true
	}
	if len(c.settings.Queues) == 0 {
		c.fail("queues: none is named")
	}
	seen := map[string]bool{}
	for i, q := range c.settings.Queues {
		if q.Path == "" || seen[q.Path] || seen[leafName(q.Path)] {
			c.fail("queues[%d].path must be set, and its last part unlike the others'", i)
		}
		seen[q.Path], seen[leafName(q.Path)] = true, true
		if !isTeam[q.Team] {
			c.fail("queues[%d].team: there is no team %q", i, q.Team)
		}
	}
}

func (c *settingsCheck) checkPriorities() {
	for i, p := range c.settings.Priorities {
		switch p.Native {
		case wire.PriorityProduction, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow:
		default:
			c.fail("priorities[%d].native: there is no priority %q", i, p.Native)
		}
	}
}

func (c *settingsCheck) checkLabels(zones []string) {
	for i, l := range c.settings.Labels {
		if l.Name == "" {
			c.fail("labels[%d].name must be set", i)
		}
		if l.Zone != "" && !slices.Contains(zones, l.Zone) {
			c.fail("labels[%d].zone: there is no zone %q", i, l.Zone)
		}
	}
}

func (c *settingsCheck) checkResources() {
	for i, r := range c.settings.Resources {
		if r.Name == "" || r.GPUs < 1 {
			c.fail("resources[%d] needs a name and gpus above 0", i)
		}
	}
}

// checkNetworks checks Settings.Networks and builds the prefix table for Settings.Allow.
func (c *settingsCheck) checkNetworks() {
	c.prefixes = new(bart.Lite)
	for i, network := range c.settings.Networks {
		prefix, err := netip.ParsePrefix(network)
		if err != nil {
			c.fail("networks[%d]: %v", i, err)
			continue
		}
		c.prefixes.Insert(prefix.Masked())
	}
}
