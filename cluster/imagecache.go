package cluster

import "slices"

// imageCache holds the images that a machine has, as far as the leader can tell from the
// tasks that it has listed, by their indices in the catalogue. The most recently used one is
// the last.
type imageCache []int32

// use makes an image the most recently used one.
func (c *imageCache) use(image int32) {
	if i := slices.Index(*c, image); i >= 0 {
		*c = slices.Delete(*c, i, i+1)
	}
	*c = append(*c, image)
}

// evict drops the least recently used images until the rest, but at least one, fit into a
// cache of that size.
func (c *imageCache) evict(catalog *imageCatalog, cacheGB float64) {
	total := 0.0
	for _, image := range *c {
		total += catalog.size(image)
	}
	for len(*c) > 1 && total > cacheGB {
		total -= catalog.size((*c)[0])
		*c = (*c)[1:]
	}
}

// hasImage reports whether a machine has an image.
func (mc *Machine) hasImage(image int32) bool { return slices.Contains(mc.cachedImages, image) }

// recordImage makes an image a machine's most recently used one.
func (m *Model) recordImage(mc *Machine, image int32) {
	mc.cachedImages.use(image)
	if mc.typeIndex >= 0 {
		mc.cachedImages.evict(&m.images, m.MachineTypes[mc.typeIndex].CacheGB)
	}
}
