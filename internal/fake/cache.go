// The image caches of machines and the simulation of image fetches.

package fake

import (
	"math"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// minFetchGBPS is the lowest rate at which a machine fetches images, in GB per second.
const minFetchGBPS = 0.1

// cache is the image cache of a machine, with least-recently-used eviction, and its fetches. The
// cluster's lock guards it.
type cache struct {
	images      []string           // cached images, the most recently used last
	sizes       map[string]float64 // GB, by cached image
	fetchesLeft map[string]float64 // GB that are still to be fetched, by image
	fetchedAt   time.Time          // when fetchesLeft was last advanced
}

func (c *cache) has(image string) bool { return slices.Contains(c.images, image) }

// use makes an image the most recently used, adding it if it is missing. Then it evicts images
// that are not in use, the least recently used first, until the rest takes at most limitGB.
func (c *cache) use(image string, gb, limitGB float64, inUse func(string) bool) {
	if c.sizes == nil {
		c.sizes = map[string]float64{}
	}
	c.sizes[image] = gb
	c.images = append(slices.DeleteFunc(c.images, func(i string) bool { return i == image }), image)
	total := 0.0
	for _, i := range c.images {
		total += c.sizes[i]
	}
	for _, i := range slices.Clone(c.images) {
		if total <= limitGB {
			return
		}
		if i != image && !inUse(i) {
			total -= c.sizes[i]
			delete(c.sizes, i)
			c.images = slices.DeleteFunc(c.images, func(o string) bool { return o == i })
		}
	}
}

// fetch begins to fetch an image, unless it is cached or being fetched.
func (c *cache) fetch(image string, gb float64) {
	if c.fetchesLeft == nil {
		c.fetchesLeft = map[string]float64{}
	}
	if _, ok := c.fetchesLeft[image]; !ok && !c.has(image) {
		c.fetchesLeft[image] = gb
	}
}

// advanceFetches advances the machine's fetches, which share its rate. It drops fetches that no
// task waits for. The caller holds the cluster's lock.
func (m *machine) advanceFetches(now time.Time) {
	wanted := map[string]bool{}
	for _, t := range m.tasks {
		if t.state == wire.TaskFetching && t.job != nil {
			wanted[t.job.Image] = true
		}
	}
	for image := range m.cache.fetchesLeft {
		if !wanted[image] {
			delete(m.cache.fetchesLeft, image)
		}
	}
	elapsed := now.Sub(m.cache.fetchedAt).Seconds()
	m.cache.fetchedAt = now
	n := len(m.cache.fetchesLeft)
	if n > 0 {
		m.cluster.fetchingMachines[m.name] = true
	} else {
		delete(m.cluster.fetchingMachines, m.name)
	}
	m.cluster.peakFetching = max(m.cluster.peakFetching, len(m.cluster.fetchingMachines))
	for image := range m.cache.fetchesLeft {
		m.cache.fetchesLeft[image] -= elapsed * math.Max(m.machineType.FetchGBPS, minFetchGBPS) / float64(n)
	}
}

// takeFetchedImage reports whether a task's image has been fetched, and if so marks it as used.
func (m *machine) takeFetchedImage(t *task) bool {
	if !m.cache.has(t.job.Image) && m.cache.fetchesLeft[t.job.Image] > 1e-9 {
		return false
	}
	delete(m.cache.fetchesLeft, t.job.Image)
	m.cache.use(t.job.Image, t.job.ImageGB, m.machineType.CacheGB, func(image string) bool {
		for _, o := range m.tasks {
			if o.job != nil && o.job.Image == image && o.state != wire.TaskExited {
				return true
			}
		}
		return false
	})
	return true
}

// SlowImageFetch makes a machine fetch images at a tenth of its type's rate.
func (w *Cluster) SlowImageFetch(name string) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	m.machineType.FetchGBPS /= 10
}

// PeakImageFetches returns the highest number of machines that fetched images at the same time.
func (w *Cluster) PeakImageFetches() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peakFetching
}

// MachinesWithImage returns the sorted names of the machines that have an image cached.
func (w *Cluster) MachinesWithImage(image string) []string {
	var out []string
	for _, name := range w.Cloud.Machines() {
		m := w.Cloud.machine(name)
		w.mu.Lock()
		if m.cache.has(image) {
			out = append(out, name)
		}
		w.mu.Unlock()
	}
	return out
}
