package fake

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file connects a cluster to real processes on this machine's loopback.

// Bridge copies what comes in on a listener to connections opened by dial, until
// ctx ends.
func Bridge(ctx context.Context, l net.Listener, dial func() (net.Conn, error)) {
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

// AttachProcess makes a real process at addr take the place of a node, and serves the
// key-value store and the cloud to real processes at state and cloud, if those are not
// empty.
func (w *Cluster) AttachProcess(ctx context.Context, node, addr, state, cloud string) error {
	inner := w.Network.Dial(node)
	for outside, inside := range map[string]string{state: stateAddr, cloud: cloudAddr} {
		if outside == "" {
			continue
		}
		l, err := net.Listen("tcp", outside)
		if err != nil {
			return err
		}
		go Bridge(ctx, l, func() (net.Conn, error) { return inner(ctx, "tcp", inside) })
	}
	l, err := w.Network.Listen("tcp", node+":80")
	if err != nil {
		return err
	}
	go Bridge(ctx, l, func() (net.Conn, error) { return net.DialTimeout("tcp", addr, time.Second) })
	return nil
}

// LearnJobs keeps the workers informed of the descriptions of accepted jobs until ctx ends.
func (w *Cluster) LearnJobs(ctx context.Context) {
	for ctx.Err() == nil {
		for _, key := range w.Store.Keys(jobstore.JobKey("")) {
			var page jobstore.JobPage
			if jobstore.IsJobPageKey(key) && wire.Unmarshal(w.Store.Value(key), &page) == nil {
				for _, e := range page.Entries {
					if rec, err := e.Decode(); err == nil {
						w.RegisterJob(rec.Job)
					}
				}
				continue
			}
			var rec jobstore.JobRecord
			if wire.Unmarshal(w.Store.Value(key), &rec) == nil && strings.HasPrefix(rec.Job.ID, wire.JobPrefix) {
				w.RegisterJob(rec.Job)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}
