package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

const (
	headerReadTimeout  = 5 * time.Second
	requestReadTimeout = 10 * time.Second
	maxHeaderBytes     = 16 << 10
)

// serveHTTP serves an HTTP interface that has an address of its own, until ctx ends.
// setting is the name of the setting that gives the address, for errors.
func (n *Node) serveHTTP(ctx context.Context, srv *http.Server, setting, addr string, maxConns int) error {
	l, err := n.network.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("%s: %w", setting, err)
	}
	srv.ReadHeaderTimeout, srv.ReadTimeout, srv.MaxHeaderBytes = headerReadTimeout, requestReadTimeout, maxHeaderBytes
	srv.ErrorLog = slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() }) // Serve reports that the listener was closed
	defer stop()
	if err := srv.Serve(netutil.LimitListener(l, maxConns)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("%s: %w", setting, err)
	}
	return nil
}
