// The server for HTTP interfaces that have an address of their own.

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

// serveHTTP serves an HTTP interface on an address of its own until ctx ends, and then returns
// nil. It accepts at most maxConns connections at once. setting is the name of the setting
// that contains the address, and is used in errors.
func (n *Node) serveHTTP(ctx context.Context, srv *http.Server, setting, addr string, maxConns int) error {
	listener, err := n.network.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("%s: %w", setting, err)
	}
	srv.ReadHeaderTimeout, srv.ReadTimeout, srv.MaxHeaderBytes = headerReadTimeout, requestReadTimeout, maxHeaderBytes
	srv.ErrorLog = slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() }) // Serve reports that the listener was closed
	defer stop()
	if err := srv.Serve(netutil.LimitListener(listener, maxConns)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("%s: %w", setting, err)
	}
	return nil
}
