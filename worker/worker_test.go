package worker

import (
	"fmt"
	"net/http"
	"reflect"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

// Workers are other programs. Direct commands must be sent in the recorded form, and the status of
// the answer must determine whether they count as executed.
func TestDirectCommandsKeepTheirBytes(t *testing.T) {
	f := golden.Open(t, "requests.golden")
	report := golden.Filled[wire.Heartbeat]()
	answer, err := wire.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	for status, executed := range map[int]bool{http.StatusOK: true, http.StatusConflict: false} {
		s := golden.Serve(t, golden.Answer{Status: status, Body: answer})
		got, done, err := New(s.Dial, 3).Command(t.Context(), "host-1:90", golden.Filled[wire.DirectCommands]())
		if err != nil || done != executed || !reflect.DeepEqual(got, report) {
			t.Errorf("status %d: got %+v, %v, %v, want %+v, %v", status, got, done, err, report, executed)
		}
		f.Text(fmt.Sprint("request, answered with ", status), fmt.Sprint(s.Asked()))
	}
	s := golden.Serve(t, golden.Answer{Status: http.StatusServiceUnavailable, Body: answer})
	if _, done, err := New(s.Dial, 3).Command(t.Context(), "host-1:90", wire.DirectCommands{}); err == nil || done {
		t.Error("status 503 must be an error and not count as executed")
	}
}
