// Package worker is the client of the workers' own addresses.
//
// The leader uses it to push commands that can't wait for the next heartbeat. The
// package decides nothing and never repeats a command. A request may be executed minutes
// after it was given up, so that only stops belong here, never launches.
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

// New makes a client that keeps at most maxIdle connections that it does not use at the
// moment: there are far more workers than a node has sockets to spare.
func New(dial call.DialFunc, maxIdle int) *Client {
	return &Client{httpClient: call.NewClient(dial, 1, maxIdle)}
}

// Command sends commands to a worker's address. It returns the worker's heartbeat, and
// whether the commands were executed: the worker refuses those with an old fencing token
// or for another epoch.
func (c *Client) Command(ctx context.Context, addr string, commands wire.DirectCommands) (wire.Heartbeat, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	status, body, err := call.Do(ctx, c.httpClient, http.MethodPost, "http://"+addr+wire.PathCommands, commands, maxResponseBytes)
	if err != nil {
		return wire.Heartbeat{}, false, fmt.Errorf("command worker %s: %w", addr, err)
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return wire.Heartbeat{}, false, fmt.Errorf("command worker %s: status %d", addr, status)
	}
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(body, &heartbeat); err != nil {
		return heartbeat, false, fmt.Errorf("command worker %s: decode the response: %w", addr, err)
	}
	return heartbeat, status == http.StatusOK, nil
}
