// Start and shutdown of a node's servers and background loops.

package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/admission"
	"github.com/umberdeal/umberdeal/peerrpc"
)

const (
	// maxServers is the largest number of servers of a node: for users and workers, other
	// controllers, operators, YARN's RPC and YARN's REST interface.
	maxServers = 5
	// shutdownGrace is how long a shutdown waits for requests in progress.
	shutdownGrace = time.Second
)

// goroutines is the group of a node's long-lived goroutines. Its creator waits for all of them.
type goroutines struct {
	sync.WaitGroup
	failed chan error // buffered for the errors of all servers, so that none blocks
}

func newGoroutines() *goroutines { return &goroutines{failed: make(chan error, maxServers)} }

// serve starts a server whose failure ends the node.
func (g *goroutines) serve(ctx context.Context, server func(context.Context) error) {
	g.Go(func() {
		if err := server(ctx); err != nil {
			g.failed <- err
		}
	})
}

// run starts a loop that runs until ctx ends.
func (g *goroutines) run(ctx context.Context, loop func(context.Context)) {
	g.Go(func() { loop(ctx) })
}

// Run serves until ctx ends or one of the servers fails. It returns nil in the first case and
// the server's error in the second. All goroutines of the node have ended when it returns.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := n.network.Listen("tcp", n.cfg.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	peerListener, err := n.network.Listen("tcp", n.cfg.PeerListen)
	if err != nil {
		listener.Close()
		return fmt.Errorf("mesh_addr: %w", err)
	}
	srv := n.newHTTPServer(ctx)
	n.connLimiter = admission.NewConnLimiter(listener, max(16, int(connShare*float64(n.cfg.Cluster.Limits.Sockets))))
	all := newGoroutines()
	n.startServers(ctx, all, srv, peerListener)
	n.startLoops(ctx, all)
	n.log.Info("serving", "node", n.cfg.Node, "zone", n.cfg.Zone, "bind", n.cfg.Bind)
	select {
	case <-ctx.Done():
		err = nil
	case err = <-all.failed:
	}
	cancel()
	shutDown(srv)
	all.Wait()
	n.directCommands.Wait()
	for _, stream := range n.peerStreams {
		stream.Close()
	}
	return err
}

// newHTTPServer returns the HTTP server for users and workers.
func (n *Node) newHTTPServer(ctx context.Context) *http.Server {
	return &http.Server{
		Handler:           n.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      15 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       admission.ConnContext,
	}
}

// startServers starts all servers of the node.
func (n *Node) startServers(ctx context.Context, all *goroutines, srv *http.Server, peerListener net.Listener) {
	if n.yarn != nil {
		all.run(ctx, n.yarn.Run)
		all.serve(ctx, n.serveYARN)
		if n.yarnSettings.REST != "" {
			all.serve(ctx, n.serveYARNREST)
		}
	}
	if n.tuning.Metrics.Listen != "" {
		all.serve(ctx, n.serveOperators)
	}
	all.serve(ctx, func(context.Context) error {
		if err := srv.Serve(n.connLimiter); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("bind: %w", err)
		}
		return nil
	})
	all.serve(ctx, func(ctx context.Context) error {
		return peerrpc.Serve(ctx, peerListener, n, max(64, n.cfg.Cluster.Limits.Sockets/2))
	})
}

// startLoops starts the loops that run on every node, whether it leads or not.
func (n *Node) startLoops(ctx context.Context, all *goroutines) {
	all.run(ctx, n.jobs.Run)
	all.run(ctx, n.monitorKV)
	all.run(ctx, n.monitorStalls)
	all.run(ctx, n.monitorLeader)
	all.run(ctx, n.monitorFailedPeers)
	all.run(ctx, n.publishRoutingPlan)
	all.run(ctx, n.refreshMachineTypes)
	all.run(ctx, n.watchOperatorPlan)
	all.run(ctx, n.elector.Run)
}

// shutDown waits up to shutdownGrace for requests in progress, and then closes the remaining
// connections. It uses a context of its own, because the node's context has ended.
func shutDown(srv *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	_ = srv.Shutdown(ctx) // open connections are closed next
	_ = srv.Close()       // a listener that fails to close needs no further handling
}
