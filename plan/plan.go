// Package plan parses and checks the operators' plan: a single TOML file with decisions
// beyond the deployment's settings (batch windows, priority tiers, warm pools), which is
// applied as a whole.
//
// Packages calendar, priority and warmpool define and implement the parts of a plan. Package
// jobstore stores its versions, and the leader applies it in package cluster.
package plan

import (
	"errors"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/warmpool"
)

// MaxBytes is the maximum size of a plan's text in bytes.
const MaxBytes = 256 << 10

// Plan is the content of one version of the plan. A part that the text omits has no effect.
type Plan struct {
	Note string `toml:"note"` // description of this version for people

	Calendar calendar.Settings `toml:"calendar"`
	Order    priority.Settings `toml:"order"`
	Pools    []warmpool.Pool   `toml:"pools"`
}

// part is a part of a plan.
type part interface {
	// Check returns an error for each invalid field, with its path, and for each contradiction
	// between fields. zones and teams are those of the deployment.
	Check(zones, teams []string) []error
}

// parts lists the plan's parts, in the order in which they are checked.
func (p *Plan) parts() []part {
	return []part{&p.Calendar, &p.Order, poolList(p.Pools)}
}

type poolList []warmpool.Pool

func (l poolList) Check(zones, teams []string) []error { return warmpool.Check(l, zones, teams) }

// Parse parses a plan's text. It does not check the values; see Plan.Check. An unknown field is an
// error, because a leader that ignored the field would apply only half of the plan. The error lists
// all unknown fields.
func Parse(text string) (*Plan, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("plan: text of %d bytes exceeds the limit of %d bytes", len(text), MaxBytes)
	}
	var p Plan
	md, err := toml.Decode(text, &p)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	var errs []error
	for _, k := range md.Undecoded() {
		errs = append(errs, fmt.Errorf("plan: %s is not a field of a plan", k))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return &p, nil
}

// Check checks the plan for a deployment with the given zones and teams. The error lists each
// invalid field with its path. It is nil if the plan is valid.
func (p *Plan) Check(zones, teams []string) error {
	var errs []error
	for _, part := range p.parts() {
		for _, err := range part.Check(zones, teams) {
			errs = append(errs, fmt.Errorf("plan: %w", err))
		}
	}
	return errors.Join(errs...)
}

// Changes returns the lines in which two versions of a plan's text differ, without comments and
// blank lines. Added lines come first, with the prefix "+ ". Removed lines follow, with the prefix
// "- ". A line that only moved within its table is no change.
func Changes(before, after string) []string {
	oldCount := map[string]int{}
	oldLines, newLines := lines(before), lines(after)
	for _, l := range oldLines {
		oldCount[l]++
	}
	var out []string
	for _, l := range newLines {
		if oldCount[l] > 0 {
			oldCount[l]--
			continue
		}
		out = append(out, "+ "+l)
	}
	newCount := map[string]int{}
	for _, l := range newLines {
		newCount[l]++
	}
	for _, l := range oldLines {
		if newCount[l] > 0 {
			newCount[l]--
			continue
		}
		out = append(out, "- "+l)
	}
	return out
}

// lines returns the settings and table headers of a plan's text, one per line, without comments.
// Each setting is prefixed with the header of its table, because the same line in two tables means
// two settings.
func lines(text string) []string {
	var out []string
	table := ""
	for l := range strings.Lines(text) {
		l = strings.TrimSpace(l)
		switch {
		case l == "" || strings.HasPrefix(l, "#"):
		case strings.HasPrefix(l, "["):
			table = l
			out = append(out, l)
		case table != "":
			out = append(out, table+" "+l)
		default:
			out = append(out, l)
		}
	}
	return out
}
