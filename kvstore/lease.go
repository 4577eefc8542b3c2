// Leases: keys written under a lease are deleted when it ends.

package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// GrantLease creates a lease that expires after ttl unless it is renewed. It returns the
// lease's ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	resp, err := c.do(ctx, request{method: http.MethodPost, path: "/holds", body: wire.NewLease{TTLMs: ttl.Milliseconds()}})
	if err != nil {
		return 0, opError("grant lease", "", err)
	}
	var answer wire.LeaseAnswer
	err = resp.decode(&answer)
	return answer.Lease, opError("grant lease", "", err)
}

// RenewLease restarts the TTL of a lease. The error is ErrLeaseNotFound if the lease has
// expired or was revoked.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	id := strconv.FormatUint(lease, 10)
	err := c.changeLease(ctx, request{method: http.MethodPost, path: "/holds/" + id + "/touch"})
	return opError("renew lease", id, err)
}

// RevokeLease ends a lease at once, and the store deletes the keys that were written under
// it. The error is ErrLeaseNotFound if the lease has already ended.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	id := strconv.FormatUint(lease, 10)
	err := c.changeLease(ctx, request{method: http.MethodDelete, path: "/holds/" + id})
	return opError("revoke lease", id, err)
}

// changeLease sends a request about an existing lease. It returns ErrLeaseNotFound for
// status 404.
func (c *Client) changeLease(ctx context.Context, req request) error {
	resp, err := c.do(ctx, req)
	switch {
	case err != nil:
		return err
	case resp.status == http.StatusNotFound:
		return ErrLeaseNotFound
	case resp.status/100 != 2:
		return fmt.Errorf("%w: status %d", ErrInvalidRequest, resp.status)
	}
	return nil
}
