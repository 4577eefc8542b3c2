// Package call sends one MessagePack request over HTTP, with everything that could grow
// without bound limited: connections, idle connections and the size of the response.
//
// The clients of the key-value store, the cloud and the workers are built on it. It
// never repeats a request. Pause is the sleep that all loops of a controller use, so
// that tests can stop a process while its clocks run on.
package call

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// DialFunc opens connections; tests hand in an in-memory network.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns the DialFunc of the real network.
func Dialer() DialFunc {
	d := &net.Dialer{Timeout: 2 * time.Second, KeepAlive: 15 * time.Second}
	return d.DialContext
}

// NewClient makes an HTTP client that keeps at most perHost connections to a
// host, and at most idle in all that it does not use at the moment. There is no
// client-wide timeout: callers bound each request.
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

// Do sends in (nil: no body) and returns the status and the body of the response. It
// fails if the body has more than maxBytes.
func Do(ctx context.Context, c *http.Client, method, url string, in any, maxBytes int64) (int, []byte, error) {
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
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	if int64(len(out)) > maxBytes {
		return 0, nil, fmt.Errorf("%s %s: response over %d bytes", method, url, maxBytes)
	}
	return resp.StatusCode, out, nil
}

type gateKey struct{}

// WithGate makes every Pause under ctx end only when the gate lets it: tests
// stop a process with it while its clocks run on.
func WithGate(ctx context.Context, gate func(context.Context)) context.Context {
	return context.WithValue(ctx, gateKey{}, gate)
}

// Pause waits, and says whether it did so to the end.
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
