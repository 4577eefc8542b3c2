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

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := n.network.Listen("tcp", n.cfg.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	ml, err := n.network.Listen("tcp", n.cfg.MeshListen)
	if err != nil {
		l.Close()
		return fmt.Errorf("mesh_addr: %w", err)
	}
	srv := &http.Server{
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
	n.connLimiter = admission.NewConnLimiter(l, max(16, int(connShare*float64(n.cfg.Cluster.Limits.Sockets))))
	var wg sync.WaitGroup
	duty := func(f func(context.Context)) {
		wg.Add(1)
		go func() { defer wg.Done(); f(ctx) }()
	}
	errs := make(chan error, 5)
	if n.yarn != nil {
		duty(n.yarn.Run)
		duty(func(ctx context.Context) {
			if err := n.serveYARN(ctx); err != nil {
				errs <- err
			}
		})
		if n.yarnSettings.REST != "" {
			duty(func(ctx context.Context) {
				if err := n.serveYARNREST(ctx); err != nil {
					errs <- err
				}
			})
		}
	}
	if n.tuning.Metrics.Listen != "" {
		duty(func(ctx context.Context) {
			if err := n.serveOperators(ctx); err != nil {
				errs <- err
			}
		})
	}
	duty(func(context.Context) {
		if err := srv.Serve(n.connLimiter); !errors.Is(err, http.ErrServerClosed) {
			errs <- fmt.Errorf("bind: %w", err)
		}
	})
	duty(func(ctx context.Context) {
		if err := peerrpc.Serve(ctx, ml, n, max(64, n.cfg.Cluster.Limits.Sockets/2)); err != nil {
			errs <- err
		}
	})
	duty(n.jobs.Run)
	duty(n.monitorKV)
	duty(n.monitorStalls)
	duty(n.monitorLeader)
	duty(n.publishRoutingPlan)
	duty(n.refreshMachineTypes)
	duty(n.watchOperatorPlan)
	duty(n.elector.Run)
	n.log.Info("serving", "node", n.cfg.Node, "zone", n.cfg.Zone, "bind", n.cfg.Bind)
	select {
	case <-ctx.Done():
		err = nil
	case err = <-errs:
	}
	cancel()
	sctx, scancel := context.WithTimeout(context.Background(), time.Second)
	defer scancel()
	_ = srv.Shutdown(sctx) // what is still open is closed next
	_ = srv.Close()
	wg.Wait()
	for _, lane := range n.peerStreams {
		lane.Close()
	}
	return err
}
