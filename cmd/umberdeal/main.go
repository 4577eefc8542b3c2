// Command umberdeal runs a controller node of the cluster scheduler, and is the command-line client for
// users and operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/controller"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn"
)

// version is the version of the program. The release build sets it.
var version = "0.1.0-dev"

type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller node."`
	Check   checkCmd   `cmd:"" help:"Check settings without starting."`
	Version versionCmd `cmd:"" help:"Print the version."`
	Job     jobCmd     `cmd:"" help:"Submit, show or cancel a job on a running node."`
	Status  statusCmd  `cmd:"" help:"Show what a running node and its leader know, now."`
	Plan    planCmd    `cmd:"" help:"Apply, show or check what operators decide: one file for all nodes."`
	State   stateCmd   `cmd:"" help:"Export, verify or import everything that the state service holds."`
	YARN    yarnCmd    `cmd:"" name:"yarn" help:"Show what YARN's clients run, at a node that serves them."`
}

type settingsFlags struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	Tuning string `placeholder:"FILE" help:"The operators' own settings (TOML)."`
	YARN   string `name:"yarn" placeholder:"FILE" help:"Serve YARN's clients as this file says (TOML)."`
}

// nodeSettings holds the settings from a node's configuration files.
type nodeSettings struct {
	platform *config.Settings
	tuning   config.Tuning
	yarn     *yarn.Settings // nil if YARN's clients are not served
}

// load reads and validates all files. The error joins the problems of all of them. YARN's settings are
// validated against the platform's settings, so they are read only if the latter are valid.
func (f *settingsFlags) load() (nodeSettings, error) {
	var s nodeSettings
	var platformErr, tuningErr, yarnErr error
	s.platform, platformErr = config.Load(f.Config)
	s.tuning, tuningErr = config.LoadTuning(f.Tuning)
	if f.YARN != "" && platformErr == nil {
		s.yarn, yarnErr = yarn.LoadSettings(f.YARN, s.platform)
	}
	return s, errors.Join(platformErr, tuningErr, yarnErr)
}

type serveCmd struct{ settingsFlags }

func (c *serveCmd) Run() error {
	s, err := c.load()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.platform.MemoryLimit())
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(config.GCPercent) // the memory limit above bounds the heap
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	n := controller.New(s.platform, s.tuning, log, controller.RealNetwork())
	if s.yarn != nil {
		n.OpenYARN(s.yarn)
	}
	return n.Run(ctx)
}

// logLevel returns the level that LOG_LEVEL names, and level info by default.
func logLevel() slog.Level {
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

type checkCmd struct{ settingsFlags }

func (c *checkCmd) Run() error {
	s, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf("settings of node %s are valid\n", s.platform.Node)
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("umberdeal", version)
	return nil
}

type jobCmd struct {
	Submit submitCmd `cmd:"" help:"Submit a job, read as JSON with the wire's field names."`
	Show   showCmd   `cmd:"" help:"Show a job."`
	Cancel cancelCmd `cmd:"" help:"Cancel a job."`
	Why    whyCmd    `cmd:"" help:"Say what a job waits for and who is ahead of it, from committed state."`
}

type nodeFlag struct {
	Node string `required:"" placeholder:"HOST:PORT" help:"A controller node's address."`
}

// jobRequestTimeout bounds a request of a job command.
const jobRequestTimeout = 10 * time.Second

// do sends a request to the node and prints the answer as JSON. A status other than 2xx is an error.
func (f *nodeFlag) do(method, path string, in any) error {
	ctx, cancel := context.WithTimeout(context.Background(), jobRequestTimeout)
	defer cancel()
	status, body, err := call.Do(ctx, call.NewClient(call.Dialer(), 1, 1), method, "http://"+f.Node+path, in, wire.MaxBody)
	if err != nil {
		return err
	}
	var answer map[string]any
	if err := msgpack.Unmarshal(body, &answer); err != nil {
		return fmt.Errorf("status %d, unreadable answer: %w", status, err)
	}
	if err := printJSON(os.Stdout, answer); err != nil {
		return err
	}
	if status/100 != 2 {
		return fmt.Errorf("status %d %s", status, http.StatusText(status))
	}
	return nil
}

type submitCmd struct {
	nodeFlag
	File string `arg:"" placeholder:"FILE" help:"The job; - for standard input."`
}

func (c *submitCmd) Run() error {
	in := io.Reader(os.Stdin)
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // the file is only read
		in = f
	}
	job, err := readJSON(in)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return c.do(http.MethodPost, wire.PathJobs, job)
}

type showCmd struct {
	nodeFlag
	ID string `arg:"" help:"The job's id."`
}

func (c *showCmd) Run() error { return c.do(http.MethodGet, wire.PathJobs+"/"+c.ID, nil) }

type cancelCmd struct {
	nodeFlag
	ID string `arg:"" help:"The job's id."`
}

func (c *cancelCmd) Run() error {
	return c.do(http.MethodPost, wire.PathJobs+"/"+c.ID+"/cancel", nil)
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("umberdeal"), kong.Description("An open-source cluster scheduler."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
