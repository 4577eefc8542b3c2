package placement

import (
	"encoding/binary"
	"math"

	"github.com/RoaringBitmap/roaring/v2"
)

// This file keeps machines by equivalence class. Machines of one type and zone with the
// same room, the same images there or on their way and the same prospects have the same
// score for a request. A fleet that starts, or comes back, has a thousand machines and
// few classes, and each class is scored once for a request.

// classKey is all of a machine that a search for room looks at.
type classKey struct {
	machineType, zone, imageSet, pool            int
	spot, ready                                  bool
	free, releasing, capacity                    Resources
	eta, price, fetchRate, fetchBacklog, penalty float64
	poolSpareGB                                  float64
}

// class is the machines that have the same key.
type class struct {
	key      classKey
	machines *roaring.Bitmap
}

// classes are the equivalence classes of a plan's machines.
type classes struct {
	byKey           map[classKey]*class
	all             []*class       // in the order in which they came up
	ofMachine       []*class       // by machine
	imageSets       []int          // by machine: the number of its list of images
	imageSetNumbers map[string]int // by the list's encoding
	encodeBuffer    []byte
}

func newClasses(machines []Machine) *classes {
	c := &classes{byKey: map[classKey]*class{}, imageSetNumbers: map[string]int{}}
	for i := range machines {
		c.add(machines, i)
	}
	return c
}

// add takes in a machine, which is the last.
func (c *classes) add(machines []Machine, machine int) {
	c.imageSets = append(c.imageSets, c.imageSetNumber(machines[machine].Images))
	c.ofMachine = append(c.ofMachine, nil)
	c.update(machines, machine)
}

// imageSetNumber numbers the different lists of images.
func (c *classes) imageSetNumber(images []ImageAt) int {
	c.encodeBuffer = c.encodeBuffer[:0]
	for _, image := range images {
		c.encodeBuffer = binary.LittleEndian.AppendUint32(c.encodeBuffer, uint32(image.Image))
		c.encodeBuffer = binary.LittleEndian.AppendUint64(c.encodeBuffer, math.Float64bits(image.ReadyInSeconds))
	}
	number, ok := c.imageSetNumbers[string(c.encodeBuffer)]
	if !ok {
		number = len(c.imageSetNumbers)
		c.imageSetNumbers[string(c.encodeBuffer)] = number
	}
	return number
}

// update moves a machine to the class that it is of now, after its room has changed.
func (c *classes) update(machines []Machine, machine int) {
	m := &machines[machine]
	key := classKey{machineType: m.Type, zone: m.Zone, imageSet: c.imageSets[machine], spot: m.Spot, ready: m.Ready,
		free: m.Free, releasing: m.Releasing, capacity: m.Capacity, eta: m.ETA, price: m.Price, fetchRate: m.FetchRate,
		fetchBacklog: m.FetchBacklogSeconds, penalty: m.PenaltySeconds, pool: m.Pool, poolSpareGB: m.PoolSpareGB}
	old := c.ofMachine[machine]
	if old != nil {
		if old.key == key {
			return
		}
		old.machines.Remove(uint32(machine))
	}
	now := c.byKey[key]
	if now == nil {
		now = &class{key: key, machines: roaring.New()}
		c.byKey[key] = now
		c.all = append(c.all, now)
	}
	now.machines.Add(uint32(machine))
	c.ofMachine[machine] = now
}

// nextMachine is the first machine of a class, from one on, that the request does not
// avoid and that is not among the excluded, or -1.
func (k *class) nextMachine(from int, r *Request, excluded *roaring.Bitmap) int {
	for {
		next := k.machines.NextValue(uint32(from))
		if next < 0 {
			return -1
		}
		machine := int(next)
		if !r.Avoid[machine] && !excluded.Contains(uint32(machine)) {
			return machine
		}
		from = machine + 1
	}
}

// takeCheapestByClass does what takeCheapest does, where the score depends on a
// machine's class only: it takes the same machines in the same order. Each class is
// scored by its first machine; the others follow at the same score, in their order.
func (p *planner) takeCheapestByClass(r *Request, n int, score scoreFunc, take takeFunc) int {
	apart := roaring.New() // machines that have an entry of their own, or none any more
	q := p.queue[:0]
	for _, k := range p.classes.all {
		if machine := k.nextMachine(0, r, apart); machine >= 0 {
			if value, ok := score(machine); ok {
				q = append(q, entry{value, machine, k})
			}
		}
	}
	return p.takeQueued(q, n, score, take, func(k *class, machine int) int {
		apart.Add(uint32(machine))
		return k.nextMachine(machine+1, r, apart)
	})
}
