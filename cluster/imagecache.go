package cluster

import "slices"

// imageCache is the leader's estimate of the images in a machine's cache, by index in the image
// catalog. It is derived from the tasks in heartbeats, which don't list images. The most recently
// used image is the last.
type imageCache []int32

// use makes an image the most recently used one. It adds the image if needed.
func (c *imageCache) use(image int32) {
	if i := slices.Index(*c, image); i >= 0 {
		*c = slices.Delete(*c, i, i+1)
	}
	*c = append(*c, image)
}

// evict removes the least recently used images until the rest fit into a cache of the given
// size. It always keeps at least one image.
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

// hasImage reports whether the machine has an image in its cache, as far as the leader knows.
func (mc *Machine) hasImage(image int32) bool { return slices.Contains(mc.cachedImages, image) }

// recordImage records that a machine uses an image, and evicts images that no longer fit.
func (m *Model) recordImage(mc *Machine, image int32) {
	mc.cachedImages.use(image)
	if mc.typeIndex >= 0 {
		mc.cachedImages.evict(&m.images, m.MachineTypes[mc.typeIndex].CacheGB)
	}
}
