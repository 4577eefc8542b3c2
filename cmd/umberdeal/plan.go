// The commands "plan apply", "plan show", "plan history" and "plan check".

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"strconv"
	"syscall"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/plan"
)

type planCmd struct {
	Apply   planApplyCmd   `cmd:"" help:"Make a file the plan that holds, on all nodes at once."`
	Show    planShowCmd    `cmd:"" help:"Print the plan that holds, or an earlier version."`
	Nights  planNightsCmd  `cmd:"" help:"Show each region's nights: opening, what is done, forecast, and how the last ones came out."`
	History planHistoryCmd `cmd:"" help:"List the last versions: who, when, and what changed."`
	Check   planCheckCmd   `cmd:"" help:"Check a file without applying it."`
	Pools   planPoolsCmd   `cmd:"" help:"Show each warm pool as recorded: machines, holds, hits, misses, cost by team."`
}

// stateFlags holds the path of a node's settings, which have the address and limits of the key-value
// store.
type stateFlags struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
}

// commandTimeout bounds the duration of a command that uses commandContext.
const commandTimeout = time.Minute

// open reads the settings and returns them with a client of the key-value store.
func (f *stateFlags) open() (*config.Settings, *kvstore.Client, error) {
	s, err := config.Load(f.Config)
	if err != nil {
		return nil, nil, err
	}
	return s, operatorClient(s), nil
}

// commandContext returns a context that ends when the command is interrupted or commandTimeout has passed.
func commandContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	ctx, release := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	return ctx, func() { release(); cancel() }
}

// readPlan reads a plan from the named file, or from standard input if name is "-", and validates it for
// a deployment. It returns the text and the parsed plan.
func readPlan(name string, s *config.Settings) (string, *plan.Plan, error) {
	in := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return "", nil, err
		}
		defer func() { _ = f.Close() }() // the file is only read
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, plan.MaxBytes+1))
	if err != nil {
		return "", nil, fmt.Errorf("%s: %w", name, err)
	}
	p, err := plan.Parse(string(text))
	if err != nil {
		return "", nil, fmt.Errorf("%s: %w", name, err)
	}
	var teams []string
	for _, t := range s.Cluster.Teams {
		teams = append(teams, t.Name)
	}
	if err := p.Check(s.Cluster.Zones, teams); err != nil {
		return "", nil, fmt.Errorf("%s: %w", name, err)
	}
	return string(text), p, nil
}

type planCheckCmd struct {
	stateFlags
	File string `arg:"" placeholder:"FILE" help:"The plan (TOML); - for standard input."`
}

func (c *planCheckCmd) Run() error {
	s, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if _, _, err := readPlan(c.File, s); err != nil {
		return err
	}
	fmt.Printf("%s is a valid plan for %d zones and %d teams\n", c.File, len(s.Cluster.Zones), len(s.Cluster.Teams))
	return nil
}

type planApplyCmd struct {
	stateFlags
	Base int    `required:"" placeholder:"N" help:"The version that it builds on; 0 for the first. Refused if another came between."`
	By   string `placeholder:"NAME" help:"Who applies it, for the history (default: the user of this machine)."`
	File string `arg:"" placeholder:"FILE" help:"The plan (TOML); - for standard input."`
}

func (c *planApplyCmd) Run() error {
	s, store, err := c.open()
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	text, p, err := readPlan(c.File, s)
	if err != nil {
		return err
	}
	by := c.By
	if by == "" {
		if u, err := user.Current(); err == nil {
			by = u.Username
		}
	}
	v, err := jobstore.ApplyPlan(ctx, store, jobstore.LimitsOf(s.Cluster.State),
		jobstore.PlanChange{Base: c.Base, Text: text, By: by, Note: p.Note, At: time.Now()})
	if err != nil {
		return err
	}
	fmt.Printf("version %d holds\n", v.Number)
	return nil
}

// readPlanHead reads the list of the plan's versions. If the record of the list is damaged, it prints a
// warning to standard error.
func readPlanHead(ctx context.Context, store *kvstore.Client) (jobstore.PlanHead, error) {
	head, err := jobstore.ReadPlanHead(ctx, store)
	if head.Warning != nil {
		fmt.Fprintln(os.Stderr, head.Warning)
	}
	return head.PlanHead, err
}

type planShowCmd struct {
	stateFlags
	Version int `default:"0" placeholder:"N" help:"An earlier version that is still kept."`
}

func (c *planShowCmd) Run() error {
	_, store, err := c.open()
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	head, err := readPlanHead(ctx, store)
	if err != nil {
		return err
	}
	v, ok := head.Find(c.Version)
	if !ok && c.Version == 0 {
		return jobstore.ErrNoPlan
	}
	if !ok {
		return fmt.Errorf("version %d is not kept any more: the oldest is %d", c.Version, head.Versions[len(head.Versions)-1].Number)
	}
	text, err := jobstore.ReadPlanText(ctx, store, v)
	if err != nil {
		return err
	}
	_, err = io.WriteString(os.Stdout, text)
	return err
}

type planHistoryCmd struct{ stateFlags }

func (c *planHistoryCmd) Run() error {
	_, store, err := c.open()
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	head, err := readPlanHead(ctx, store)
	if err != nil {
		return err
	}
	if len(head.Versions) == 0 {
		return jobstore.ErrNoPlan
	}
	before, known := "", false
	for i := len(head.Versions) - 1; i >= 0; i-- {
		v := head.Versions[i]
		text, err := jobstore.ReadPlanText(ctx, store, v)
		by := v.By
		if by == "" {
			by = "not known"
		}
		fmt.Printf("version %d, %s, by %s: %s\n", v.Number, time.UnixMilli(v.AtMs).UTC().Format(time.RFC3339), by, strconv.Quote(v.Note))
		switch {
		case err != nil:
			fmt.Println("  ", err)
		case !known && v.Number > 1:
			fmt.Println("   what it changed is not known: the version before is not kept, or damaged")
		default:
			for _, l := range plan.Changes(before, text) {
				fmt.Println("  ", l)
			}
		}
		before, known = text, err == nil
	}
	return nil
}
