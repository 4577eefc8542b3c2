package cluster

// imageCatalog assigns an index to each image name and holds the image's size. The caches of
// machines and jobs refer to images by index. An index is never reused, and the size is the
// one that was stated last, by a job or by a warm pool.
type imageCatalog struct {
	index  map[string]int32
	sizeGB []float64 // by index
}

func newImageCatalog() imageCatalog { return imageCatalog{index: map[string]int32{}} }

// intern returns the index of an image and records its size.
func (c *imageCatalog) intern(name string, gb float64) int32 {
	i, ok := c.index[name]
	if !ok {
		i = int32(len(c.sizeGB))
		c.index[name] = i
		c.sizeGB = append(c.sizeGB, gb)
	}
	c.sizeGB[i] = gb
	return i
}

// size returns an image's size in GB.
func (c *imageCatalog) size(image int32) float64 { return c.sizeGB[image] }
