// Package call sends MessagePack requests over HTTP. It limits the number of connections, the
// number of idle connections and the size of a response.
//
// The clients of the key-value store, the cloud and the workers are built on it. It never retries
// a request. All loops of a controller sleep with Pause, so that tests can suspend a process
// while its clocks keep running.
package call

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// DialFunc opens a connection. Tests pass the Dial function of an in-memory network.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns the DialFunc of the real network.
func Dialer() DialFunc {
	d := &net.Dialer{Timeout: 2 * time.Second, KeepAlive: 15 * time.Second}
	return d.DialContext
}

// NewClient returns an HTTP client with at most perHost connections to a host and at most idle
// unused connections in total (0 counts as 1). It follows no redirects and has no timeout of its
// own. Callers bound each request by its context.
func NewClient(dial DialFunc, perHost, idle int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     perHost,
			MaxIdleConnsPerHost: perHost,
			MaxIdleConns:        max(1, idle),
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// ErrResponseTooLarge means that the body of a response exceeds the limit of its caller.
var ErrResponseTooLarge = errors.New("response over the limit")

// Do sends in, encoded as MessagePack, and returns the status and body of the response. The
// request has no body if in is nil. Do fails with ErrResponseTooLarge if the response body is larger
// than maxBytes. An HTTP error status is not an error.
func Do(ctx context.Context, client *http.Client, method, url string, in any, maxBytes int64) (int, []byte, error) {
	var body io.Reader
	if in != nil {
		b, err := wire.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	req.Header.Set("Accept", wire.ContentType)
	if in != nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	if int64(len(out)) > maxBytes {
		return 0, nil, fmt.Errorf("%s %s: %w of %d bytes", method, url, ErrResponseTooLarge, maxBytes)
	}
	return resp.StatusCode, out, nil
}

// gateKey is the context key of the gate that WithGate sets.
type gateKey struct{}

// WithGate returns a context under which every Pause calls gate after its sleep and returns only
// once gate has returned. Tests suspend a process this way while its clocks keep running.
func WithGate(ctx context.Context, gate func(context.Context)) context.Context {
	return context.WithValue(ctx, gateKey{}, gate)
}

// Pause sleeps for d, and then until the gate of ctx returns (see WithGate). It reports false
// if ctx ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	}
	if gate, ok := ctx.Value(gateKey{}).(func(context.Context)); ok {
		gate(ctx)
	}
	return ctx.Err() == nil
}
