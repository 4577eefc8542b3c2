// The users' side: single requests to a controller.

package lab

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

var client = call.NewClient(call.Dialer(), 16, 16)

// Ready reports whether a controller answers GET /ready with 200.
func Ready(addr string) bool {
	status, _ := send(http.MethodGet, addr, wire.PathReady, nil, time.Second)
	return status == http.StatusOK
}

// Reply is the answer to a user's request. Status is 0 if there is none.
type Reply struct {
	Status int
	Job    wire.JobStatus
}

// Submit submits a job once.
func Submit(addr string, j any) Reply {
	return ask(http.MethodPost, addr, wire.PathJobs, j, 5*time.Second)
}

// Show asks for a job's state once.
func Show(addr, id string) Reply {
	return ask(http.MethodGet, addr, wire.PathJobs+"/"+id, nil, 2*time.Second)
}

// CancelJob asks once for a job's cancellation.
func CancelJob(addr, id string) Reply {
	return ask(http.MethodPost, addr, wire.PathJobs+"/"+id+"/cancel", nil, 5*time.Second)
}

func ask(method, addr, path string, body any, timeout time.Duration) (r Reply) {
	status, out := send(method, addr, path, body, timeout)
	r.Status = status
	if status == http.StatusOK || status == http.StatusCreated {
		if wire.Unmarshal(out, &r.Job) != nil {
			r.Status = 0
		}
	}
	return r
}

func send(method, addr, path string, body any, timeout time.Duration) (status int, out []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	status, out, err := call.Do(ctx, client, method, "http://"+addr+path, body, wire.MaxBody)
	if err != nil {
		return 0, nil
	}
	return status, out
}
