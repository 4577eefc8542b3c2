// Package plan is what operators decide beyond the platform's settings: one
// TOML file, taken in as a whole. It reads and checks; the parts decide in
// packages of their own, package ledger keeps the plan's versions, and the
// leader asks it in package cluster.
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

// MaxBytes bounds a plan's text.
const MaxBytes = 256 << 10

// Plan is a version of what the operators decided. A part that the text does
// not speak of decides nothing.
type Plan struct {
	Note string `toml:"note"` // for people: what this version is for

	Calendar calendar.Settings `toml:"calendar"`
	Order    priority.Settings `toml:"order"`
	Pools    []warmpool.Pool   `toml:"pools"`
}

// part is what a plan is made of.
type part interface {
	// Check names each bad field with its place, and what contradicts what.
	Check(zones, teams []string) []error
}

// parts lists the plan's parts, in the order in which they are checked.
func (p *Plan) parts() []part {
	return []part{&p.Calendar, &p.Order, poolList(p.Pools)}
}

type poolList []warmpool.Pool

func (l poolList) Check(zones, teams []string) []error { return warmpool.Check(l, zones, teams) }

// Parse reads a plan's text. A field that it does not know is an error: a leader
// that passed over it would decide by half a plan.
func Parse(text string) (*Plan, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("plan: %d bytes are more than the %d that a plan may have", len(text), MaxBytes)
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

// Check says what is wrong with a plan for a deployment with these zones and
// teams: each bad field with its place.
func (p *Plan) Check(zones, teams []string) error {
	var errs []error
	for _, part := range p.parts() {
		for _, err := range part.Check(zones, teams) {
			errs = append(errs, fmt.Errorf("plan: %w", err))
		}
	}
	return errors.Join(errs...)
}

// Changes lists the lines by which a version's text differs from the one before,
// comments and blank lines left out: "+ " before what is new, "- " before what is
// gone. A line that only moved is no change, unless its table is another one.
func Changes(before, after string) []string {
	count := map[string]int{}
	was, is := lines(before), lines(after)
	for _, l := range was {
		count[l]++
	}
	var out []string
	for _, l := range is {
		if count[l] > 0 {
			count[l]--
			continue
		}
		out = append(out, "+ "+l)
	}
	left := map[string]int{}
	for _, l := range is {
		left[l]++
	}
	for _, l := range was {
		if left[l] > 0 {
			left[l]--
			continue
		}
		out = append(out, "- "+l)
	}
	return out
}

// lines are the text's settings, each below the table that it stands in: the
// same line in two tables is two settings.
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
