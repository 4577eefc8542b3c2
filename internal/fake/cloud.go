package fake

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// Cloud rents machines of the cluster.
type Cloud struct {
	w        *Cluster
	mu       sync.Mutex
	types    []wire.MachineType
	capacity int
	lag      time.Duration
	answers  map[string][]string
	machines map[string]*machine
	next     int
	outage   bool
	silent   bool // what is asked is done, and not answered
	Reused   []string
	Rented   int                     // machines, ever
	boots    func(int) time.Duration // of the machine of that number; negative: never up
	slow     time.Duration           // until a rental is answered
	later    time.Duration           // until a deletion is carried out, unanswered
	Late     int                     // deletions carried out so
	upFirst  int                     // machines whose worker had an answer before their rental had one
}

// DelayDeletes leaves deletions unanswered and carries them out only so much later;
// 0 ends that.
func (c *Cloud) DelayDeletes(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.later = by
}

// ReadyBeforeRentalReply is how many machines' workers were answered before the rental was that
// made them.
func (c *Cloud) ReadyBeforeRentalReply() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upFirst
}

// SetBootTimes says how long machines take to come up, by their number since the
// beginning; below 0 means never. nil: as the catalogue says.
func (c *Cloud) SetBootTimes(f func(n int) time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boots = f
}

// SetReplyDelay makes rentals take so long to be answered, after the machines have
// been made.
func (c *Cloud) SetReplyDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = d
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
	c.silent = on
}

func (c *Cloud) typ(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// rent adds a machine; c.mu must be held.
func (c *Cloud) rent(typ, zone string, spot bool, boot time.Duration) string {
	name := fmt.Sprintf("host-%06d", c.next)
	c.next++
	m := newMachine(c.w, name, *c.typ(typ), zone, spot, boot)
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

func (c *Cloud) machine(name string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[name]
}

// ServeHTTP implements the interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(50 * time.Millisecond)
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
		var n wire.Names
		if wire.Unmarshal(body, &n) != nil || len(n.Machines) > 100 {
			reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		if by := c.later; by > 0 {
			c.mu.Unlock()
			time.Sleep(by)
			c.mu.Lock()
			c.Late++
			w = discardedReply{w}
		}
		for _, name := range n.Machines {
			if m := c.machines[name]; m != nil {
				m.kill()
				delete(c.machines, name)
			}
		}
		reply(w, http.StatusOK, map[string]any{})
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		c.serveRental(w, body)
	case r.URL.Path == "/machines":
		c.list(w, r.URL.Query().Get("after"))
	default:
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
	}
}

func (c *Cloud) serveRental(w http.ResponseWriter, body []byte) {
	var q wire.Rental
	if wire.Unmarshal(body, &q) != nil || c.typ(q.Type) == nil || q.Count < 1 || q.Count > 50 {
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	names, ok := c.answers[q.Request]
	if !ok {
		for i := 0; i < q.Count && len(c.machines) < c.capacity; i++ {
			boot := time.Duration(c.typ(q.Type).BootS * float64(time.Second))
			if c.boots != nil {
				if boot = c.boots(c.next); boot < 0 {
					boot = 1000 * time.Hour
				}
			}
			c.Rented++
			names = append(names, c.rent(q.Type, q.Zone, q.Spot, boot))
		}
		if len(names) == 0 {
			reply(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
			return
		}
		c.answers[q.Request] = names
	} else {
		c.Reused = append(c.Reused, q.Request)
	}
	if c.silent {
		c.mu.Unlock()
		time.Sleep(20 * time.Second)
		c.mu.Lock()
	}
	if c.slow > 0 {
		d := c.slow
		c.mu.Unlock()
		time.Sleep(d)
		c.mu.Lock()
	}
	c.w.mu.Lock()
	for _, name := range names {
		if m := c.machines[name]; m != nil && !ok && m.token > 0 {
			c.upFirst++
		}
	}
	c.w.mu.Unlock()
	reply(w, http.StatusOK, wire.Names{Machines: names})
}

func (c *Cloud) list(w http.ResponseWriter, after string) {
	var l wire.MachineList
	now := time.Now()
	for name, m := range c.machines {
		age := now.Sub(m.born)
		if name <= after || age < c.lag {
			continue
		}
		e := wire.ListedMachine{Name: name, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot,
			State: wire.MachineRunning, AgeS: (age - c.lag).Seconds()}
		if age-c.lag < m.boot {
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
