// Equivalence classes of machines.
//
// Machines that agree in all fields of classKey have the same score for a request, so only one
// machine of each class has to be scored. A cluster that has just started or recovered may have a
// thousand machines but few classes. Preemption and holding also depend on the tasks of each
// machine, and therefore score every machine.

package placement

import (
	"encoding/binary"
	"math"

	"github.com/RoaringBitmap/roaring/v2"
)

// classKey holds every property of a machine that determines its score and whether a request may
// use it. Request.Avoid is not part of it, since it names individual machines.
type classKey struct {
	machineType, zone, imageSet, pool            int
	spot, ready                                  bool
	free, releasing, capacity                    Resources
	eta, price, fetchRate, fetchBacklog, penalty float64
	poolSpareGB                                  float64
}

// class is the set of machines that have the same key.
type class struct {
	key      classKey
	machines *roaring.Bitmap
}

// classes are the equivalence classes of a plan's machines.
type classes struct {
	byKey           map[classKey]*class
	all             []*class       // in the order of creation; some may be empty
	ofMachine       []*class       // by machine
	imageSets       []int          // by machine: the number of its image list, see imageSetNumber
	imageSetNumbers map[string]int // by the encoding of the image list
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

// imageSetNumber returns a number that identifies a list of images. Equal lists have the same
// number.
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

// update moves a machine to the class of its current properties.
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

// nextMachine returns the first machine of the class with an index of at least from that the
// request does not avoid and that is not excluded. It returns -1 if there is none.
func (c *class) nextMachine(from int, r *Request, excluded *roaring.Bitmap) int {
	for {
		next := c.machines.NextValue(uint32(from))
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

// takeCheapestByClass takes the same machines as takeCheapest, in the same order, provided that
// the score depends only on a machine's class. It scores the first machine of each class. The
// others follow in index order with the same score.
func (p *planner) takeCheapestByClass(r *Request, n int, score scoreFunc, take takeFunc) int {
	taken := roaring.New() // taken machines are no longer represented by their class
	q := p.candidates[:0]
	for _, c := range p.classes.all {
		if machine := c.nextMachine(0, r, taken); machine >= 0 {
			if value, ok := score(machine); ok {
				q = append(q, candidate{value, machine, c})
			}
		}
	}
	return p.takeQueued(q, n, score, take, func(c *class, machine int) int {
		taken.Add(uint32(machine))
		return c.nextMachine(machine+1, r, taken)
	})
}
