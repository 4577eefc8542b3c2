// Package worker is the client for the HTTP addresses of the workers.
//
// The leader uses it to send commands that can't wait for the next heartbeat. The package
// never repeats a command. A worker may execute a request minutes after the request has timed
// out, so callers must send only stops, never launches.
package worker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	commandTimeout   = 3 * time.Second
	maxResponseBytes = 1 << 20
)

// Client sends direct commands to workers. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
}

// New returns a client that keeps at most maxIdle idle connections, because a node has far
// fewer sockets than there are workers.
func New(dial call.DialFunc, maxIdle int) *Client {
	return &Client{httpClient: call.NewClient(dial, 1, maxIdle)}
}

// Command sends commands to the worker at addr. It returns the worker's heartbeat. executed is
// false if the worker rejected the commands because of an old fencing token or a different
// agent epoch. After an error it is unknown whether the worker executes the commands.
func (c *Client) Command(ctx context.Context, addr string, commands wire.DirectCommands) (heartbeat wire.Heartbeat, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	status, body, err := call.Do(ctx, c.httpClient, http.MethodPost, "http://"+addr+wire.PathCommands, commands, maxResponseBytes)
	if err != nil {
		return wire.Heartbeat{}, false, fmt.Errorf("command worker %s: %w", addr, err)
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return wire.Heartbeat{}, false, fmt.Errorf("command worker %s: status %d", addr, status)
	}
	if err := wire.Unmarshal(body, &heartbeat); err != nil {
		return heartbeat, false, fmt.Errorf("command worker %s: decode the response: %w", addr, err)
	}
	return heartbeat, status == http.StatusOK, nil
}
