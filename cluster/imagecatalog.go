package cluster

// imageCatalog assigns an index to each image name and stores the image's size. Machine caches
// and jobs refer to images by index. An index is never reused. The size is the one that a job
// or warm pool stated last.
type imageCatalog struct {
	index  map[string]int32
	sizeGB []float64 // by index
}

func newImageCatalog() imageCatalog { return imageCatalog{index: map[string]int32{}} }

// intern returns the index of an image and sets its size. It adds the image if needed.
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
