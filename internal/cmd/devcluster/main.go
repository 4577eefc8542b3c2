// Command devcluster emulates the key-value store, the cloud and the workers on this machine's
// loopback, so that a controller can be tried without the real services. It uses the simulated
// cluster of the tests (package fake) and writes the settings file for the controller.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kong"

	"github.com/umberdeal/umberdeal/internal/fake"
)

type cli struct {
	Dir      string `required:"" help:"Where the node's settings are written."`
	Machines int    `default:"4" help:"Machines up at the start."`
}

// Addresses of the controller (for users and workers, and for its peers) and of the emulated
// key-value store and cloud.
const (
	bindAddr  = "127.0.0.1:18080"
	peerAddr  = "127.0.0.1:18081"
	stateAddr = "127.0.0.1:18082"
	cloudAddr = "127.0.0.1:18083"
)

func main() {
	var c cli
	k := kong.Parse(&c, kong.Description("A local emulator of the services that umberdeal needs."))
	k.FatalIfErrorf(run(c))
}

// run emulates the services until the process is interrupted.
func run(c cli) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	w := fake.New(fake.Options{Nodes: 1, Machines: c.Machines, ExternalNodes: true})
	s := *w.Settings
	s.Bind, s.PeerListen = bindAddr, peerAddr
	s.Services.State, s.Services.Cloud = stateAddr, cloudAddr
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(c.Dir, "node.toml")
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := toml.NewEncoder(f).Encode(s); err != nil {
		_ = f.Close() // the encoding error is the cause
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := w.AttachProcess(ctx, "n-0", bindAddr, stateAddr, cloudAddr); err != nil {
		return err
	}
	go w.LearnJobs(ctx)
	fmt.Printf("settings in %s; running until interrupted\n", path)
	<-ctx.Done()
	return nil
}
