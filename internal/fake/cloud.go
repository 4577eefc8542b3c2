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

// Cloud rents machines to the cluster.
type Cloud struct {
	// Set before the cloud serves requests, and not changed afterwards.
	cluster    *Cluster
	types      []wire.MachineType
	listingLag time.Duration // until a machine is listed as it is

	mu sync.Mutex // guards all that follows

	capacity    int                 // machines at once
	machines    map[string]*machine // those that exist, by name
	nextMachine int                 // the number of the next machine
	rentals     map[string][]string // the machines that a request has made, by its id

	outage      bool
	dropReplies bool                    // what is asked is done, and not answered
	bootTimes   func(int) time.Duration // of the machine of that number; negative: never up
	replyDelay  time.Duration           // until a rental is answered
	deleteDelay time.Duration           // until a deletion is carried out, unanswered

	repeatedRentals  []string // requests that came again
	rented           int      // machines, ever
	delayedDeletes   int      // deletions carried out late
	readyBeforeReply int      // machines whose worker had an answer before their rental had one
}

// RepeatedRentals lists the ids of rental requests that came again, after they had been carried
// out: once for each time.
func (c *Cloud) RepeatedRentals() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.repeatedRentals)
}

// RentedMachines is how many machines were rented, ever.
func (c *Cloud) RentedMachines() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rented
}

// DelayedDeletes is how many deletions were carried out late.
func (c *Cloud) DelayedDeletes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delayedDeletes
}

// DelayDeletes leaves deletions unanswered and carries them out only so much later;
// 0 ends that.
func (c *Cloud) DelayDeletes(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deleteDelay = by
}

// ReadyBeforeRentalReply is how many machines' workers were answered before the rental was that
// made them.
func (c *Cloud) ReadyBeforeRentalReply() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readyBeforeReply
}

// SetBootTimes says how long machines take to come up, by their number since the
// beginning; below 0 means never. nil: as the catalogue says.
func (c *Cloud) SetBootTimes(f func(n int) time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootTimes = f
}

// SetReplyDelay makes rentals take so long to be answered, after the machines have
// been made.
func (c *Cloud) SetReplyDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replyDelay = d
}

// SetOutage begins or ends an outage of the cloud's interface.
func (c *Cloud) SetOutage(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = on
}

// SetDropReplies makes the cloud carry requests out without answering.
func (c *Cloud) SetDropReplies(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropReplies = on
}

// machineType is the machine type of a name; nil: there is none.
func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// rent adds a machine; c.mu must be held.
func (c *Cloud) rent(typ, zone string, spot bool, boot time.Duration) string {
	name := fmt.Sprintf("host-%06d", c.nextMachine)
	c.nextMachine++
	m := newMachine(c.cluster, name, *c.machineType(typ), zone, spot, boot)
	c.machines[name] = m
	return name
}

// close ends renting. A request that is delivered late, as the cluster ends, would
// begin a machine while the end waits for all of them.
func (c *Cloud) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity = 0
}

// Machines lists the names of the machines that exist.
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

// Remove takes a machine away as a deletion does; what is kept of it stays known.
func (c *Cloud) Remove(name string) {
	m := c.machine(name)
	m.kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.machines, name)
}

// machine is the machine of a name; nil: it does not exist any more.
func (c *Cloud) machine(name string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[name]
}

// requestTime is how long the cloud takes for a request.
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

// What the protocol allows a request to ask for.
const (
	maxDeletions = 100
	maxRentals   = 50
)

// serveDeletion ends machines; the lock is held, but not while the deletion is delayed.
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

// unansweredTimeout is how long a request is kept that is carried out and not answered: longer than
// its sender waits.
const unansweredTimeout = 20 * time.Second

// neverBoots is the boot time of a machine that never comes up.
const neverBoots = 1000 * time.Hour

// serveRental makes machines, or answers a request again that was carried out before. The
// lock is held, but not while the answer is delayed.
func (c *Cloud) serveRental(w http.ResponseWriter, body []byte) {
	var q wire.Rental
	if wire.Unmarshal(body, &q) != nil || c.machineType(q.Type) == nil || q.Count < 1 || q.Count > maxRentals {
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	names, again := c.rentals[q.RequestID]
	if again {
		c.repeatedRentals = append(c.repeatedRentals, q.RequestID)
	} else if names = c.rentFor(q); len(names) == 0 {
		reply(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	if c.dropReplies {
		c.wait(unansweredTimeout)
	}
	if c.replyDelay > 0 {
		c.wait(c.replyDelay)
	}
	if !again {
		c.countReady(names)
	}
	reply(w, http.StatusOK, wire.Names{Machines: names})
}

// rentFor makes the machines of a new request, as far as there is capacity; the lock is held.
func (c *Cloud) rentFor(q wire.Rental) (names []string) {
	for i := 0; i < q.Count && len(c.machines) < c.capacity; i++ {
		c.rented++
		names = append(names, c.rent(q.Type, q.Zone, q.Spot, c.bootTime(q.Type)))
	}
	if len(names) > 0 {
		c.rentals[q.RequestID] = names
	}
	return names
}

// bootTime is how long the next machine takes to come up.
func (c *Cloud) bootTime(typ string) time.Duration {
	if c.bootTimes == nil {
		return secs(c.machineType(typ).BootS)
	}
	if boot := c.bootTimes(c.nextMachine); boot >= 0 {
		return boot
	}
	return neverBoots
}

// countReady counts those of newly rented machines whose worker has had an answer already.
func (c *Cloud) countReady(names []string) {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	for _, name := range names {
		if m := c.machines[name]; m != nil && m.token > 0 {
			c.readyBeforeReply++
		}
	}
}

// wait lets time pass; the lock is held before and after, not meanwhile.
func (c *Cloud) wait(d time.Duration) {
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
}

// serveList answers with the machines after a name, as they were a while ago; the lock is held.
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
