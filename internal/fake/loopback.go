// Connections between a simulated cluster and external processes over loopback.

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

// Bridge forwards each connection that a listener accepts to a connection opened by dial, in both
// directions, until either side ends. It closes the listener and returns when ctx ends. Open
// connections continue.
func Bridge(ctx context.Context, l net.Listener, dial func() (net.Conn, error)) {
	defer l.Close()
	context.AfterFunc(ctx, func() { l.Close() })
	for {
		accepted, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer accepted.Close()
			dialed, err := dial()
			if err != nil {
				return
			}
			defer dialed.Close()
			done := make(chan struct{}, 2)
			for _, pair := range [][2]net.Conn{{accepted, dialed}, {dialed, accepted}} {
				go func() {
					_, _ = io.Copy(struct{ io.Writer }{pair[0]}, pair[1]) // fails when either side is closed
					done <- struct{}{}
				}()
			}
			<-done
		}()
	}
}

// AttachProcess connects a controller in an external process to the cluster over loopback, until
// ctx ends. Requests of users and workers to the given node go to the process at addr. The
// key-value store and the cloud are served at the addresses state and cloud, unless they are
// empty. It fails if an address is in use.
func (w *Cluster) AttachProcess(ctx context.Context, node, addr, state, cloud string) error {
	dialInside := w.Network.Dial(node)
	for outside, inside := range map[string]string{state: stateAddr, cloud: cloudAddr} {
		if outside == "" {
			continue
		}
		l, err := net.Listen("tcp", outside)
		if err != nil {
			return err
		}
		go Bridge(ctx, l, func() (net.Conn, error) { return dialInside(ctx, "tcp", inside) })
	}
	l, err := w.Network.Listen("tcp", node+":80")
	if err != nil {
		return err
	}
	go Bridge(ctx, l, func() (net.Conn, error) { return net.DialTimeout("tcp", addr, time.Second) })
	return nil
}

// LearnJobs registers the accepted jobs in the key-value store with the workers, every 200 ms until
// ctx ends. It is for external controllers, whose users submit no jobs through the cluster.
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
