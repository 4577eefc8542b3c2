// Package cloud is the client of the cloud provider's API.
//
// The leader uses it to scale out (CreateMachines), to scale in (DeleteMachines) and to list
// the machines (ListMachines). Every node reads the catalog of machine types
// (MachineTypes). A Client limits its rate of requests. It keeps no other state and never
// repeats a request; its callers track which machines exist.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// ErrNoCapacity means that the cloud has created no machine for lack of capacity. The caller
// may send the same request again.
var ErrNoCapacity = errors.New("no capacity")

const (
	// MaxDelete is the largest number of names in one call of DeleteMachines.
	MaxDelete = 100
	// MaxCreate is the largest number of machines in one call of CreateMachines.
	MaxCreate = 50

	maxResponseBytes = 1 << 20
	listPageSize     = 500
	requestTimeout   = 5 * time.Second
	maxConns         = 4
)

// Client sends requests to the cloud. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	requests   *rate.Limiter
}

// New returns a client of the cloud's API at addr that sends at most rps requests per second, with
// bursts of twice this number.
func New(dial call.DialFunc, addr string, rps float64) *Client {
	return &Client{
		baseURL:    "http://" + addr,
		httpClient: call.NewClient(dial, maxConns, maxConns),
		requests:   rate.NewLimiter(rate.Limit(rps), max(1, int(2*rps))),
	}
}

// do sends a request within the rate limit and decodes the response into out, unless out is nil.
// Any status except 200 is an error.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	if err := c.requests.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: %s %s: wait for the rate limit: %w", method, path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, body, err := call.Do(ctx, c.httpClient, method, c.baseURL+path, in, maxResponseBytes)
	if err != nil {
		return fmt.Errorf("cloud: %s %s: %w", method, path, err)
	}
	if status != http.StatusOK {
		var e wire.Error
		if wire.Unmarshal(body, &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("cloud: %s %s: status %d %s", method, path, status, e.Error)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(body, out); err != nil {
		return fmt.Errorf("cloud: %s %s: decode the response: %w", method, path, err)
	}
	return nil
}

// MachineTypes returns the catalog of machine types.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var t wire.Types
	err := c.do(ctx, http.MethodGet, "/machine_types", nil, &t)
	return t.Types, err
}

// CreateMachines rents the requested machines and returns their names. The error is ErrNoCapacity if
// the cloud has no capacity for them.
func (c *Client) CreateMachines(ctx context.Context, r wire.Rental) ([]string, error) {
	var n wire.Names
	err := c.do(ctx, http.MethodPost, "/machines", r, &n)
	return n.Machines, err
}

// DeleteMachines deletes the named machines, at most MaxDelete. They no longer exist once it has
// returned nil.
func (c *Client) DeleteMachines(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, "/machines/delete", wire.Names{Machines: names}, nil)
}

// ListMachines returns all machines in the cloud's list. The list lags behind creations and
// deletions.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	after := ""
	for {
		query := url.Values{"page": {strconv.Itoa(listPageSize)}}
		if after != "" {
			query.Set("after", after)
		}
		var page wire.MachineList
		if err := c.do(ctx, http.MethodGet, "/machines?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
