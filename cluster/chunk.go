package cluster

// Chunk is the placement record of up to jobstore.ChunkSize consecutive tasks of a job. It is
// on a placement page from its first change until its job is over and none of the job's tasks
// can be on a machine.
//
// Each change of the chunk increments generation. The store has the changes up to
// committedGeneration.
type Chunk struct {
	generation          uint64
	committedGeneration uint64
	placementGeneration uint64 // of the last change that placed a task

	page *placementPage // nil while it is on no page
	size int            // upper bound of the bytes that it takes on its page
}

// change increments the generation.
func (c *Chunk) change() { c.generation++ }

// recordPlacement records that the last change added the given placement.
func (c *Chunk) recordPlacement(p *Placement) {
	c.placementGeneration = c.generation
	p.chunkGeneration = c.generation
}

// commit records that the store has the changes up to the given generation.
func (c *Chunk) commit(generation uint64) {
	c.committedGeneration = max(c.committedGeneration, generation)
}

// isCommitted reports whether the store has the changes up to the given generation.
func (c *Chunk) isCommitted(generation uint64) bool { return c.committedGeneration >= generation }

// HasNewPlacements reports whether the chunk has placements that are not committed yet.
func (c *Chunk) HasNewPlacements() bool { return !c.isCommitted(c.placementGeneration) }
