// The commands "state export", "state verify" and "state import".

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/snapshot"
	"github.com/umberdeal/umberdeal/wire"
)

type stateCmd struct {
	Export exportCmd `cmd:"" help:"Write the whole ledger to a file, as of one revision, while the service runs."`
	Verify verifyCmd `cmd:"" help:"Say whether a file is whole and which invariants of the ledger fail in it."`
	Import importCmd `cmd:"" help:"Fill an empty state service from a file."`
}

type exportCmd struct {
	Config string  `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	Share  float64 `default:"0.1" help:"Share of the state service's requests to use."`
	File   string  `arg:"" placeholder:"FILE" help:"Where to write; it must not be there yet."`
}

func (c *exportCmd) Run() (err error) {
	s, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if !(c.Share > 0 && c.Share <= 1) {
		return fmt.Errorf("--share: %v must be above 0 and at most 1", c.Share)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// The export goes to a temporary file, which gets the final name only when it is complete.
	part, err := os.CreateTemp(filepath.Dir(c.File), filepath.Base(c.File)+".part-*")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, part.Close(), os.Remove(part.Name())) }()
	rps := s.Cluster.State.RPS * c.Share
	src := kvstore.New(call.Dialer(), s.Services.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS)
	started := time.Now()
	h, keys, err := snapshot.Take(ctx, src, rps, part, version)
	if err != nil {
		return err
	}
	if err := part.Sync(); err != nil {
		return err
	}
	if err := os.Link(part.Name(), c.File); err != nil {
		return err
	}
	fmt.Printf("%d keys as of revision %d, %.1f s\n", keys, h.Revision, time.Since(started).Seconds())
	return nil
}

// readSnapshot reads the header and all entries of a snapshot file. It fails unless the whole file is
// intact.
func readSnapshot(name string) (h snapshot.Header, all map[string]wire.Raw, err error) {
	f, err := os.Open(name)
	if err != nil {
		return h, nil, err
	}
	defer func() { _ = f.Close() }() // the file is only read
	r, err := snapshot.NewReader(f)
	if err != nil {
		return h, nil, fmt.Errorf("%s: %w", name, err)
	}
	if all, err = r.All(); err != nil {
		return h, nil, fmt.Errorf("%s: %w", name, err)
	}
	return r.Header, all, nil
}

type verifyCmd struct {
	File string `arg:"" placeholder:"FILE" help:"The snapshot."`
}

func (c *verifyCmd) Run() error {
	h, all, err := readSnapshot(c.File)
	if err != nil {
		return err
	}
	totals, found := snapshot.Verify(all)
	fmt.Printf("whole: %d keys as of revision %d, taken %s by version %s\n", totals.Keys, h.Revision, h.TakenAt().UTC().Format(time.RFC3339), h.By)
	fmt.Printf("%d unfinished jobs, %d that are over, %d places, %d other keys\n", totals.Unfinished, totals.Finished, totals.Placements, totals.Other)
	for _, f := range found {
		fmt.Println(f)
	}
	if len(found) > 0 {
		return fmt.Errorf("the snapshot violates %d invariants", len(found))
	}
	return nil
}

type importCmd struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	Anyway bool   `help:"Also where invariants fail."`
	File   string `arg:"" placeholder:"FILE" help:"The snapshot."`
}

func (c *importCmd) Run() error {
	s, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	h, all, err := readSnapshot(c.File)
	if err != nil {
		return err
	}
	if _, found := snapshot.Verify(all); len(found) > 0 && !c.Anyway {
		return fmt.Errorf("the snapshot violates %d invariants, the first: %v", len(found), found[0])
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	limits := s.Cluster.State
	to := kvstore.New(call.Dialer(), s.Services.State, limits.RPS, limits.WriteRPS)
	n, err := snapshot.Restore(ctx, to, h, all, max(1, limits.TxnOps))
	if err != nil {
		return err
	}
	fmt.Printf("%d keys written\n", n)
	return nil
}
