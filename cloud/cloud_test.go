package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

func body(t *testing.T, v any) []byte {
	t.Helper()
	b, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The cloud is another program. Each call must send the recorded request and decode its answer as
// recorded.
func TestRequestsToTheCloudKeepTheirBytes(t *testing.T) {
	f := golden.Open(t, "requests.golden")
	ctx := t.Context()
	page := wire.MachineList{Machines: []wire.ListedMachine{golden.Filled[wire.ListedMachine]()}, More: true}
	for label, c := range map[string]struct {
		answers []any
		call    func(c *Client) (any, error)
	}{
		"types":  {[]any{golden.Filled[wire.Types]()}, func(c *Client) (any, error) { return c.MachineTypes(ctx) }},
		"rent":   {[]any{golden.Filled[wire.Names]()}, func(c *Client) (any, error) { return c.CreateMachines(ctx, golden.Filled[wire.Rental]()) }},
		"delete": {[]any{nil}, func(c *Client) (any, error) { return nil, c.DeleteMachines(ctx, []string{"host-1", "host-2"}) }},
		"list":   {[]any{page, wire.MachineList{}}, func(c *Client) (any, error) { return c.ListMachines(ctx) }},
	} {
		var answers []golden.Answer
		for _, a := range c.answers {
			answers = append(answers, golden.Answer{Status: http.StatusOK, Body: body(t, a)})
		}
		s := golden.Serve(t, answers...)
		got, err := c.call(New(s.Dial, "cloud:80", 100))
		f.Text(label+", requests", fmt.Sprint(s.Asked()))
		f.Text(label+", answer", fmt.Sprintf("%v %v", got, err))
	}
}

// Callers handle a lack of capacity differently from other errors, so only the answer "no capacity"
// may be reported as ErrNoCapacity.
func TestRefusalForLackOfCapacityIsReported(t *testing.T) {
	for answer, want := range map[string]bool{"no capacity": true, "other": false} {
		s := golden.Serve(t, golden.Answer{Status: http.StatusServiceUnavailable, Body: body(t, wire.Error{Error: answer})})
		_, err := New(s.Dial, "cloud:80", 100).CreateMachines(t.Context(), wire.Rental{})
		if err == nil || errors.Is(err, ErrNoCapacity) != want {
			t.Errorf("answer %q: got error %v, want ErrNoCapacity: %v", answer, err, want)
		}
	}
}
