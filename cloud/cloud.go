// Package cloud is the client of the cloud provider's API.
//
// The leader uses it to scale out (CreateMachines) and in (DeleteMachines) and to see
// what is there; every node reads the catalogue of machine types. A Client keeps within
// its rate of requests, remembers nothing and decides nothing: it does not repeat a
// request, and which machines exist is for its callers to keep.
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

// ErrNoCapacity says that no machine was created, and that the same request may be sent
// again.
var ErrNoCapacity = errors.New("no capacity")

const (
	// MaxDelete is the largest number of names in one DeleteMachines.
	MaxDelete = 100
	// MaxCreate is the largest number of machines in one CreateMachines.
	MaxCreate = 50

	maxResponseBytes = 1 << 20
	listPageSize     = 500
	requestTimeout   = 5 * time.Second
	// maxConns bounds the connections to the cloud.
	maxConns = 4
)

// Client sends requests to the cloud. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	requests   *rate.Limiter
}

// New makes a client for at most rps requests a second.
func New(dial call.DialFunc, addr string, rps float64) *Client {
	return &Client{
		baseURL:    "http://" + addr,
		httpClient: call.NewClient(dial, maxConns, maxConns),
		requests:   rate.NewLimiter(rate.Limit(rps), max(1, int(2*rps))),
	}
}

// do sends a request and decodes the response into out, if that is not nil.
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

// MachineTypes reads the catalogue.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var t wire.Types
	err := c.do(ctx, http.MethodGet, "/machine_types", nil, &t)
	return t.Types, err
}

// CreateMachines asks for machines and returns their names.
func (c *Client) CreateMachines(ctx context.Context, r wire.Rental) ([]string, error) {
	var n wire.Names
	err := c.do(ctx, http.MethodPost, "/machines", r, &n)
	return n.Machines, err
}

// DeleteMachines deletes machines; when it has returned nil they are gone.
func (c *Client) DeleteMachines(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, "/machines/delete", wire.Names{Machines: names}, nil)
}

// ListMachines reads the list of all machines. The cloud's list lags behind what was
// created and deleted.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	after := ""
	for {
		q := url.Values{"page": {strconv.Itoa(listPageSize)}}
		if after != "" {
			q.Set("after", after)
		}
		var page wire.MachineList
		if err := c.do(ctx, http.MethodGet, "/machines?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
