// Sizes of records as the key-value store counts them.

package jobstore

import "github.com/umberdeal/umberdeal/wire"

// Size returns an upper bound of the bytes that the key-value store counts for a job's record. It is 0
// if the record can't be encoded, in which case no transaction can write it.
func (r *JobRecord) Size() int { return encodedSize(r) }

// Size returns an upper bound of the bytes that the key-value store counts for the record of a cycle. It
// is 0 if the record can't be encoded.
func (c *RebalanceCycle) Size() int { return encodedSize(c) }

// encodedSize returns an upper bound of the bytes that the key-value store counts for a value. It is 0 if
// the value can't be encoded, in which case no transaction can write it.
func encodedSize(v any) int {
	raw, err := wire.Marshal(v)
	if err != nil {
		return 0
	}
	return wire.JSONSize(raw)
}

// Sizes in JSON of the parts of a placement page that are the same in each.
const (
	placementPageOverhead  = len(`{"c":[]}`)
	placementChunkOverhead = len(`{"j":"n":"a":"p":null,"d":null,"r":true,"e":null,"l":null},`)
	placementOverhead      = len(`[],`)
)

// Size returns an upper bound of the bytes that the key-value store counts for a page. Unlike the size of
// an encoded record it costs no allocation, because the leader measures all changed pages for each batch.
func (p *PlacementPage) Size() int {
	size := placementPageOverhead
	for i := range p.Chunks {
		size += p.Chunks[i].Size()
	}
	return size
}

// Size returns an upper bound of the bytes that the key-value store counts for a chunk on a page.
func (c *PlacementChunk) Size() int {
	size := placementChunkOverhead + wire.JSONTextSize(c.Job) + numberSize(c.Chunk) + numberSize(c.MaxAttempt)
	for i := range c.Placements {
		p := &c.Placements[i]
		size += placementOverhead + numberSize(p.Task) + numberSize(p.Attempt) + wire.JSONTextSize(p.Machine)
	}
	return size + numbersSize(c.DoneRanges) + numbersSize(c.Outcomes) + numbersSize(c.Stopping)
}

// numbersSize returns the size of the elements of a list as JSON, with a separator after each.
func numbersSize(list []int) (size int) {
	for _, n := range list {
		size += numberSize(n)
	}
	return size
}

// numberSize returns the size of a number as JSON, with a separator after it.
func numberSize[N int | uint64](n N) int {
	size := len("0,")
	if n < 0 {
		size += len("-")
	}
	for n /= 10; n != 0; n /= 10 {
		size++
	}
	return size
}
