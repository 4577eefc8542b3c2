package fake

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// A repeated rental request must not rent machines again. The goroutines that serve rentals count
// them while the test reads the counts, so that the race detector reports a count that is read
// without the lock.
func TestRentalsAreCountedWhileTheyArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(Options{Machines: 1, Capacity: 4, ExternalNodes: true})
		defer w.Close()
		for range 2 {
			w.wg.Go(func() {
				w.request(http.MethodPost, "cloud:1", "/machines", wire.Rental{RequestID: "r-1", Type: DefaultType.Name, Zone: "a", Count: 2}, time.Minute)
			})
		}
		for range 10 {
			if rented, repeated := w.Cloud.RentedMachines(), len(w.Cloud.RepeatedRentals()); rented > 2 || repeated > 1 {
				t.Errorf("%d machines rented by a request for 2, repeated %d times", rented, repeated)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if rented, repeated := w.Cloud.RentedMachines(), len(w.Cloud.RepeatedRentals()); rented != 2 || repeated != 1 {
			t.Errorf("%d machines rented, want 2; repeated %d times, want 1", rented, repeated)
		}
	})
}
