// Execution of HTTP requests to the store.

package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// request is one HTTP request to the store.
type request struct {
	method   string
	path     string
	body     any           // nil if there is none
	maxBytes int64         // maximum size of the response body; 0 means maxResponseBytes
	block    time.Duration // how long the store may delay the response (long polling)
}

// response is the store's response to a request.
type response struct {
	status int
	body   []byte
}

// decode decodes the body of a response into out. It returns ErrInvalidRequest for any
// status but 200.
func (r response) decode(out any) error {
	if r.status != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrInvalidRequest, r.status)
	}
	return wire.Unmarshal(r.body, out)
}

// do sends a request once the rate limit allows it. If the store refused the request,
// do returns both an error and a response that holds the status.
func (c *Client) do(ctx context.Context, req request) (response, error) {
	if err := c.requests.WaitN(ctx, 1); err != nil {
		return response{}, fmt.Errorf("%w: %w", ErrRateLimited, err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+req.block)
	defer cancel()
	maxBytes := req.maxBytes
	if maxBytes == 0 {
		maxBytes = maxResponseBytes
	}
	status, body, err := call.Do(ctx, c.httpClient, req.method, c.baseURL+req.path, req.body, maxBytes)
	if err != nil {
		c.outcomes.lastFailure.Store(time.Now().UnixNano())
		return response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if status == http.StatusServiceUnavailable {
		c.outcomes.lastFailure.Store(time.Now().UnixNano())
		return response{status: status}, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	c.outcomes.lastSuccess.Store(time.Now().UnixNano())
	if status == http.StatusTooManyRequests {
		c.requests.recordRefusal(1)
		return response{status: status}, fmt.Errorf("%w: status %d", ErrRateLimited, status)
	}
	return response{status: status, body: body}, nil
}

// opError wraps err in an OpError. It returns nil if err is nil.
func opError(op, key string, err error) error {
	if err == nil {
		return nil
	}
	return &OpError{Op: op, Key: key, Err: err}
}
