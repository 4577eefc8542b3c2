package cluster

// Chunk is the placement record of up to jobstore.ChunkSize consecutive tasks of a job. It is
// on a placement page from its first change until its job is over and none of the job's tasks
// can be on a machine.
//
// Its changes are numbered: of the changes up to generation, those up to committed are in
// the store, and the one numbered placed is the last that placed a task.
type Chunk struct {
	generation          uint64
	committedGeneration uint64
	placementGeneration uint64

	page *placementPage
	size int // the most bytes that it takes on its page
}

// change records a change.
func (c *Chunk) change() { c.generation++ }

// recordPlacement records that the last change placed a task.
func (c *Chunk) recordPlacement(p *Placement) {
	c.placementGeneration = c.generation
	p.chunkGeneration = c.generation
}

// commit records that the chunk is in the store as of a generation.
func (c *Chunk) commit(generation uint64) {
	c.committedGeneration = max(c.committedGeneration, generation)
}

// isCommitted reports whether the change of that number is in the store.
func (c *Chunk) isCommitted(generation uint64) bool { return c.committedGeneration >= generation }

// HasNewPlacements reports whether placements of the chunk are not in the store yet.
func (c *Chunk) HasNewPlacements() bool { return !c.isCommitted(c.placementGeneration) }
