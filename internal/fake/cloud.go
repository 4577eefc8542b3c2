// The simulated cloud provider and the faults that scenarios inject into it.

package fake

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// Cloud simulates the cloud provider that rents machines to the cluster. It serves the provider's
// protocol over HTTP and is safe for concurrent use.
type Cloud struct {
	// Set before the cloud serves requests and constant from then on.
	cluster    *Cluster
	types      []wire.MachineType
	listingLag time.Duration // until the list shows a new machine, or the end of its boot

	mu sync.Mutex // guards the fields below

	capacity    int                 // most machines at once
	machines    map[string]*machine // existing machines, by name
	nextMachine int                 // number of the next machine
	rentals     map[string][]string // names of the rented machines, by request id

	outage      bool
	dropReplies bool                    // rentals are executed, but the answer comes too late
	bootTimes   func(int) time.Duration // boot time by machine number; negative: never boots; nil: as the type says
	replyDelay  time.Duration           // between a rental and its answer
	deleteDelay time.Duration           // before the execution of a deletion, which is not answered then

	repeatedRentals  []string // ids of repeated rental requests
	rented           int      // machines rented so far
	delayedDeletes   int      // deletion requests executed late
	readyBeforeReply int      // machines whose worker got an answer before the rental request did
}

// RepeatedRentals returns the ids of rental requests that were repeated after their execution, one
// entry for each repetition.
func (c *Cloud) RepeatedRentals() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.repeatedRentals)
}

// RentedMachines returns the number of machines that requests have rented so far.
func (c *Cloud) RentedMachines() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rented
}

// DelayedDeletes returns the number of deletion requests that were executed late.
func (c *Cloud) DelayedDeletes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delayedDeletes
}

// DelayDeletes makes deletion requests execute late and leaves them without an answer; 0 ends
// that.
func (c *Cloud) DelayDeletes(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deleteDelay = by
}

// ReadyBeforeRentalReply returns the number of rented machines whose worker got an answer from a
// controller before the cloud answered the rental request.
func (c *Cloud) ReadyBeforeRentalReply() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readyBeforeReply
}

// SetBootTimes sets the boot times of machines rented from now on. The function takes the number
// of a machine, counted from 0 since the start of the cluster. A negative result means that the
// machine never boots. A nil function selects the boot times of the machine types.
func (c *Cloud) SetBootTimes(f func(n int) time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootTimes = f
}

// SetReplyDelay delays the answers to rental requests, after the machines have been created.
func (c *Cloud) SetReplyDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replyDelay = d
}

// SetOutage begins or ends an outage of the cloud's API. Machines keep running.
func (c *Cloud) SetOutage(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = on
}

// SetDropReplies makes the cloud execute rental requests and answer later than their senders wait.
func (c *Cloud) SetDropReplies(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropReplies = on
}

// machineType returns the machine type with a name, or nil if there is none.
func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// rent creates a machine and returns its name. The caller holds the lock.
func (c *Cloud) rent(typ, zone string, spot bool, boot time.Duration) string {
	name := fmt.Sprintf("host-%06d", c.nextMachine)
	c.nextMachine++
	m := newMachine(c.cluster, name, *c.machineType(typ), zone, spot, boot)
	c.machines[name] = m
	return name
}

// close ends renting. Otherwise a request that arrives while the cluster is being closed could
// start a machine that Cluster.Close would not kill.
func (c *Cloud) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity = 0
}

// Machines returns the sorted names of the machines that exist and are not dead.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for n, m := range c.machines {
		if !m.isDead() {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// Remove kills and deletes a machine, like a deletion request. It changes none of the counts.
func (c *Cloud) Remove(name string) {
	m := c.machine(name)
	m.kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.machines, name)
}

// machine returns the machine with a name, or nil if it doesn't exist.
func (c *Cloud) machine(name string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[name]
}

// requestTime is the time until the cloud executes a request.
const requestTime = 50 * time.Millisecond

// ServeHTTP implements the cloud's protocol.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(requestTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage {
		reply(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/machine_types":
		reply(w, http.StatusOK, wire.Types{Types: c.types})
	case r.URL.Path == "/machines/delete":
		c.serveDeletion(w, body)
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		c.serveRental(w, body)
	case r.URL.Path == "/machines":
		c.serveList(w, r.URL.Query().Get("after"))
	default:
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
	}
}

// Limits of the protocol on the machines of one request.
const (
	maxDeletions = 100
	maxRentals   = 50
)

// serveDeletion kills and deletes machines. The caller holds the lock, which is released during a
// delay.
func (c *Cloud) serveDeletion(w http.ResponseWriter, body []byte) {
	var names wire.Names
	if wire.Unmarshal(body, &names) != nil || len(names.Machines) > maxDeletions {
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	if by := c.deleteDelay; by > 0 {
		c.wait(by)
		c.delayedDeletes++
		w = discardedReply{w}
	}
	for _, name := range names.Machines {
		if m := c.machines[name]; m != nil {
			m.kill()
			delete(c.machines, name)
		}
	}
	reply(w, http.StatusOK, map[string]any{})
}

// unansweredTimeout is the delay of an answer that must not reach the sender. It is longer than any
// sender waits.
const unansweredTimeout = 20 * time.Second

// neverBoots is the boot time of a machine that never comes up.
const neverBoots = 1000 * time.Hour

// serveRental creates machines. A repeated request gets the same answer as the first one. The
// caller holds the lock, which is released during a delay.
func (c *Cloud) serveRental(w http.ResponseWriter, body []byte) {
	var rental wire.Rental
	if wire.Unmarshal(body, &rental) != nil || c.machineType(rental.Type) == nil || rental.Count < 1 || rental.Count > maxRentals {
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	names, repeated := c.rentals[rental.RequestID]
	if repeated {
		c.repeatedRentals = append(c.repeatedRentals, rental.RequestID)
	} else if names = c.rentFor(rental); len(names) == 0 {
		reply(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	if c.dropReplies {
		c.wait(unansweredTimeout)
	}
	if c.replyDelay > 0 {
		c.wait(c.replyDelay)
	}
	if !repeated {
		c.countReady(names)
	}
	reply(w, http.StatusOK, wire.Names{Machines: names})
}

// rentFor creates the machines of a new request, as far as the capacity allows, and returns their
// names. The caller holds the lock.
func (c *Cloud) rentFor(rental wire.Rental) (names []string) {
	for i := 0; i < rental.Count && len(c.machines) < c.capacity; i++ {
		c.rented++
		names = append(names, c.rent(rental.Type, rental.Zone, rental.Spot, c.bootTime(rental.Type)))
	}
	if len(names) > 0 {
		c.rentals[rental.RequestID] = names
	}
	return names
}

// bootTime returns the boot time of the next machine.
func (c *Cloud) bootTime(typ string) time.Duration {
	if c.bootTimes == nil {
		return secs(c.machineType(typ).BootS)
	}
	if boot := c.bootTimes(c.nextMachine); boot >= 0 {
		return boot
	}
	return neverBoots
}

// countReady counts the newly rented machines whose worker has got an answer from a controller.
func (c *Cloud) countReady(names []string) {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	for _, name := range names {
		if m := c.machines[name]; m != nil && m.token > 0 {
			c.readyBeforeReply++
		}
	}
}

// wait sleeps. The caller holds the lock, which is released during the sleep.
func (c *Cloud) wait(d time.Duration) {
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
}

// serveList answers with the machines after a name. A new machine, and the end of its boot, show
// listingLag later. Failures and deletions show at once. The caller holds the lock.
func (c *Cloud) serveList(w http.ResponseWriter, after string) {
	var l wire.MachineList
	now := time.Now()
	for name, m := range c.machines {
		age := now.Sub(m.createdAt)
		if name <= after || age < c.listingLag {
			continue
		}
		e := wire.ListedMachine{Name: name, Addr: m.addr, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
			State: wire.MachineRunning, AgeS: (age - c.listingLag).Seconds()}
		if age-c.listingLag < m.bootTime {
			e.State = wire.MachineBooting
		}
		if m.isDead() {
			e.State = wire.MachineFailed
		}
		l.Machines = append(l.Machines, e)
	}
	sort.Slice(l.Machines, func(a, b int) bool { return strings.Compare(l.Machines[a].Name, l.Machines[b].Name) < 0 })
	reply(w, http.StatusOK, l)
}
