package placement

import (
	"encoding/binary"
	"math"

	"github.com/RoaringBitmap/roaring/v2"
)

// This file groups machines by equivalence class. Machines that agree in all fields of classKey
// have the same score for a request, so that only one machine of each class has to be scored.
// A cluster that has just started, or comes back, has a thousand machines and few classes.
// Preemption and holding depend on the machines' tasks as well, and score every machine.

// classKey has all properties of a machine on which its score depends, and whether a request
// may use it; Request.Avoid is checked by machine.
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
	all             []*class       // in the order of their creation; some may be empty
	ofMachine       []*class       // by machine
	imageSets       []int          // by machine: number of its list of images, see imageSetNumber
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

// add adds a machine, which must be the last one of the list.
func (c *classes) add(machines []Machine, machine int) {
	c.imageSets = append(c.imageSets, c.imageSetNumber(machines[machine].Images))
	c.ofMachine = append(c.ofMachine, nil)
	c.update(machines, machine)
}

// imageSetNumber returns the number of a list of images; equal lists have the same.
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

// update moves a machine to the class that it belongs to now, after its resources have changed.
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

// nextMachine returns the first machine of a class, from a number on, that the request does not
// avoid and that is not excluded, or -1.
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

// takeCheapestByClass takes the same machines as takeCheapest in the same order, if the score
// depends on a machine's class only. Of each class the first machine is scored; the others
// follow in their order, with the same score.
func (p *planner) takeCheapestByClass(r *Request, n int, score scoreFunc, take takeFunc) int {
	apart := roaring.New() // machines that were taken: they have entries of their own, or none
	q := p.candidates[:0]
	for _, k := range p.classes.all {
		if machine := k.nextMachine(0, r, apart); machine >= 0 {
			if value, ok := score(machine); ok {
				q = append(q, candidate{value, machine, k})
			}
		}
	}
	return p.takeQueued(q, n, score, take, func(k *class, machine int) int {
		apart.Add(uint32(machine))
		return k.nextMachine(machine+1, r, apart)
	})
}
