// Command standin plays a state service, a cloud and workers on this machine's
// loopback, for trying umberdeal out. It is made of the tests' fakes.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kong"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/ledger"
	"github.com/umberdeal/umberdeal/wire"
)

type cli struct {
	Dir      string `required:"" help:"Where the node's settings are written."`
	Machines int    `default:"4" help:"Machines up at the start."`
}

const (
	bind      = "127.0.0.1:18080"
	meshAddr  = "127.0.0.1:18081"
	stateAddr = "127.0.0.1:18082"
	cloudAddr = "127.0.0.1:18083"
)

func main() {
	var c cli
	k := kong.Parse(&c, kong.Description("Stand-ins for umberdeal's surroundings."))
	k.FatalIfErrorf(run(c))
}

func run(c cli) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	w := fake.New(fake.Options{Nodes: 1, Machines: c.Machines, Outside: true})
	s := *w.Settings
	s.Bind, s.MeshListen = bind, meshAddr
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
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	// The node's requests come in over TCP; the workers' reports go out.
	inner := w.Net.Dial("n-0")
	for outside, inside := range map[string]string{stateAddr: "state:1", cloudAddr: "cloud:1"} {
		l, err := net.Listen("tcp", outside)
		if err != nil {
			return err
		}
		go bridge(ctx, l, func() (net.Conn, error) { return inner(ctx, "tcp", inside) })
	}
	l, err := w.Net.Listen("tcp", "n-0:80")
	if err != nil {
		return err
	}
	go bridge(ctx, l, func() (net.Conn, error) { return net.DialTimeout("tcp", bind, time.Second) })
	go learnJobs(ctx, w)
	fmt.Printf("settings in %s; running until interrupted\n", path)
	<-ctx.Done()
	return nil
}

// bridge copies what comes in on a listener to connections opened by dial.
func bridge(ctx context.Context, l net.Listener, dial func() (net.Conn, error)) {
	defer l.Close()
	context.AfterFunc(ctx, func() { l.Close() })
	for {
		a, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer a.Close()
			b, err := dial()
			if err != nil {
				return
			}
			defer b.Close()
			done := make(chan struct{}, 2)
			for _, p := range [][2]net.Conn{{a, b}, {b, a}} {
				go func() {
					_, _ = io.Copy(struct{ io.Writer }{p[0]}, p[1]) // ends with either side
					done <- struct{}{}
				}()
			}
			<-done
		}()
	}
}

// learnJobs hands the workers the descriptions of the jobs that were accepted.
func learnJobs(ctx context.Context, w *fake.World) {
	for ctx.Err() == nil {
		for _, key := range w.State.Keys(ledger.JobKey("")) {
			var rec ledger.JobRecord
			if wire.Unmarshal(w.State.Value(key), &rec) == nil && strings.HasPrefix(rec.Job.ID, wire.JobPrefix) {
				w.Know(rec.Job)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}
