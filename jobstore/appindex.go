// The index of applications and their reserved jobs.

package jobstore

import (
	"github.com/umberdeal/umberdeal/wire"
)

// appIndex is the part of the index that only controllers with an API front end need. The Store's lock
// guards it. Methods that apply changes do nothing on a nil appIndex.
type appIndex struct {
	pageChunks  map[int][]PlacementChunk          // of reserved jobs, by placement page
	chunksByJob map[string]map[int]PlacementChunk // the same by job and chunk
	jobsByOwner map[string]map[string]bool        // ids of reserved jobs, by the key of the owner's record
	apps        map[string]AppRecord              // by key
}

func (x *appIndex) reset() {
	if x == nil {
		return
	}
	x.pageChunks = map[int][]PlacementChunk{}
	x.chunksByJob = map[string]map[int]PlacementChunk{}
	x.jobsByOwner = map[string]map[string]bool{}
	x.apps = map[string]AppRecord{}
}

func (x *appIndex) putJob(id string, record *JobRecord) {
	if x == nil || record.Reservation == nil {
		return
	}
	owner := record.Reservation.Owner
	if x.jobsByOwner[owner] == nil {
		x.jobsByOwner[owner] = map[string]bool{}
	}
	x.jobsByOwner[owner][id] = true
}

func (x *appIndex) deleteJob(id string, record *JobRecord) {
	if x == nil || record.Reservation == nil {
		return
	}
	owner := record.Reservation.Owner
	delete(x.jobsByOwner[owner], id)
	if len(x.jobsByOwner[owner]) == 0 {
		delete(x.jobsByOwner, owner)
	}
}

// setPlacementPage replaces the content of a placement page.
func (x *appIndex) setPlacementPage(page int, chunks []PlacementChunk) {
	if x == nil {
		return
	}
	for _, c := range x.pageChunks[page] {
		delete(x.chunksByJob[c.Job], c.Chunk)
		if len(x.chunksByJob[c.Job]) == 0 {
			delete(x.chunksByJob, c.Job)
		}
	}
	delete(x.pageChunks, page)
	for _, c := range chunks {
		if !c.Reserved {
			continue
		}
		x.pageChunks[page] = append(x.pageChunks[page], c)
		if x.chunksByJob[c.Job] == nil {
			x.chunksByJob[c.Job] = map[int]PlacementChunk{}
		}
		x.chunksByJob[c.Job][c.Chunk] = c
	}
}

func (x *appIndex) putApp(key string, value wire.Raw, version uint64) {
	if x != nil && version >= x.apps[key].Version {
		x.apps[key] = AppRecord{key, value, version}
	}
}

func (x *appIndex) deleteApp(key string, version uint64) {
	if x != nil && x.apps[key].Version <= version {
		delete(x.apps, key)
	}
}

// reservedJob returns an unfinished reserved job with the placements and outcomes of its tasks.
func (x *appIndex) reservedJob(id string, j *activeJob) ReservedJob {
	out := ReservedJob{
		ID: id, Record: j.record, Version: j.version,
		Placements: map[int]Placement{}, Stopping: map[int]bool{}, Outcomes: map[int]TaskOutcome{},
	}
	for _, c := range x.chunksByJob[id] {
		for _, p := range c.Placements {
			out.Placements[p.Task] = p
		}
		for _, task := range c.Stopping {
			out.Stopping[task] = true
		}
		for task, outcome := range c.Outcomes.All() {
			out.Outcomes[task] = outcome
		}
	}
	return out
}
