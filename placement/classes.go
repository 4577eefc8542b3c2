package placement

import (
	"encoding/binary"
	"math"

	"github.com/RoaringBitmap/roaring/v2"
)

// This file keeps the machines by class: those of one kind and zone with the
// same room, the same images there or on their way and the same prospects cost
// a request the same. A fleet that starts, or comes back, has a thousand
// machines and few classes, and each is judged once for a request.

// classKey is all that a search for room looks at.
type classKey struct {
	machineType, zone, imageSet, pool            int
	spot, ready                                  bool
	free, releasing, capacity                    Resources
	eta, price, fetchRate, fetchBacklog, penalty float64
	poolSpareGB                                  float64
}

// class is the machines with one key.
type class struct {
	key      classKey
	machines *roaring.Bitmap
}

type classes struct {
	byKey           map[classKey]*class
	all             []*class
	ofMachine       []*class       // of each machine
	imageSets       []int          // of each machine: its list, by number
	imageSetNumbers map[string]int // lists of images
	buf             []byte
}

func newClasses(machines []Machine) *classes {
	c := &classes{byKey: map[classKey]*class{}, imageSetNumbers: map[string]int{}}
	for i := range machines {
		c.add(machines, i)
	}
	return c
}

// add takes in the machine that comes next.
func (c *classes) add(machines []Machine, i int) {
	c.buf = c.buf[:0]
	for _, im := range machines[i].Images {
		c.buf = binary.LittleEndian.AppendUint32(c.buf, uint32(im.Image))
		c.buf = binary.LittleEndian.AppendUint64(c.buf, math.Float64bits(im.ReadyInSeconds))
	}
	n, ok := c.imageSetNumbers[string(c.buf)]
	if !ok {
		n = len(c.imageSetNumbers)
		c.imageSetNumbers[string(c.buf)] = n
	}
	c.imageSets = append(c.imageSets, n)
	c.ofMachine = append(c.ofMachine, nil)
	c.update(machines, i)
}

// moved takes in that a machine's room has changed.
func (c *classes) update(machines []Machine, i int) {
	m := &machines[i]
	key := classKey{machineType: m.Type, zone: m.Zone, imageSet: c.imageSets[i], spot: m.Spot, ready: m.Ready, free: m.Free, releasing: m.Releasing, capacity: m.Capacity,
		eta: m.ETA, price: m.Price, fetchRate: m.FetchRate, fetchBacklog: m.FetchBacklogSeconds, penalty: m.PenaltySeconds, pool: m.Pool, poolSpareGB: m.PoolSpareGB}
	old := c.ofMachine[i]
	if old != nil {
		if old.key == key {
			return
		}
		old.machines.Remove(uint32(i))
	}
	to := c.byKey[key]
	if to == nil {
		to = &class{key: key, machines: roaring.New()}
		c.byKey[key] = to
		c.all = append(c.all, to)
	}
	to.machines.Add(uint32(i))
	c.ofMachine[i] = to
}

// next is the first machine of a class from one on that the request does not
// avoid and that has no entry of its own, or -1.
func (k *class) nextMachine(from int, r *Request, own *roaring.Bitmap) int {
	for {
		n := k.machines.NextValue(uint32(from))
		if n < 0 {
			return -1
		}
		i := int(n)
		if !r.Avoid[i] && !own.Contains(uint32(i)) {
			return i
		}
		from = i + 1
	}
}

// greedyByClass does what greedy does, for what depends on a machine's class
// only: the same machines in the same order. Each class is judged by its first
// machine; the others of it follow at the same cost, in their order.
func (p *planner) takeCheapestByClass(r *Request, n int, judge func(i int) (float64, bool), take func(i int) bool) int {
	own := roaring.New() // machines that have an entry of their own, or none any more
	q := p.queue[:0]
	for _, k := range p.classes.all {
		if i := k.nextMachine(0, r, own); i >= 0 {
			if c, ok := judge(i); ok {
				q = append(q, entry{c, i, k})
			}
		}
	}
	return p.drawCheapest(q, n, judge, take, func(k *class, i int) int {
		own.Add(uint32(i))
		return k.nextMachine(i+1, r, own)
	})
}
