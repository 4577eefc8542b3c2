// Keys of the records in the key-value store, and functions that parse them.

package jobstore

import (
	"strconv"
	"strings"
)

// Prefixes of the keys of jobs and placements.
const (
	// ActivePrefix is the prefix of all records of unfinished jobs, so that a leader can load them with
	// one listing and follow them with one watch.
	ActivePrefix = "w/"
	// JobPrefix is the part of ActivePrefix that users' requests change.
	JobPrefix = "w/j/"
	// AppPrefix is where API front ends store the records of the applications that own reserved jobs.
	// It is under ActivePrefix so that one read barrier brings applications and jobs up to date
	// together. The leader ignores these keys.
	AppPrefix = ActivePrefix + "y/"
	// jobPagePrefix is where job pages are stored. The plus sign distinguishes them from the keys of
	// single jobs, because no job id begins with a plus sign.
	jobPagePrefix       = JobPrefix + "+"
	placementPagePrefix = "w/p/"
	finalPrefix         = "f/"
)

// Keys of the leader's other records.
const (
	// ScaleOutPrefix holds a ScaleOutRecord for each request for machines.
	ScaleOutPrefix = "r/"
	// ScaleInKey holds the ScaleInRecord of the last request to delete machines.
	ScaleInKey = "c/returns"
	// RebalanceCyclePrefix holds a RebalanceCycle for each group of machines.
	RebalanceCyclePrefix = "x/"
	// MachineTypesKey holds the cloud's machine types as last read from its API.
	MachineTypesKey = "c/types"
)

// JobKey returns the key of an unfinished job that does not share a job page.
func JobKey(id string) string { return JobPrefix + id }

// ParseJobKey returns the job id of a key made by JobKey. ok is false for any other key.
func ParseJobKey(key string) (id string, ok bool) {
	id, ok = strings.CutPrefix(key, JobPrefix)
	return id, ok && !IsJobPageKey(key)
}

// FinalKey returns the key of the final record of a finished or cancelled job. It is never deleted.
func FinalKey(id string) string { return finalPrefix + id }

// ParseFinalKey returns the job id of a key made by FinalKey. ok is false for any other key.
func ParseFinalKey(key string) (id string, ok bool) { return strings.CutPrefix(key, finalPrefix) }

// PlacementPageKey returns the key of a page of placement records.
func PlacementPageKey(page int) string { return placementPagePrefix + strconv.Itoa(page) }

// ParsePlacementPageKey returns the page number of a key made by PlacementPageKey. ok is false for any
// other key.
func ParsePlacementPageKey(key string) (page int, ok bool) {
	number, ok := strings.CutPrefix(key, placementPagePrefix)
	if !ok {
		return 0, false
	}
	page, err := strconv.Atoi(number)
	return page, err == nil && page >= 0
}

// HeadPageKey returns the key of a bucket's head page, to which new jobs are added (see JobPage). The
// key is never deleted, so that a delayed transaction that expects it to be absent fails.
func HeadPageKey(bucket int) string { return jobPagePrefix + strconv.Itoa(bucket) }

// SealedPageKey returns the key of a sealed page, which holds entries for which the bucket's head page
// had no room. Numbers are not reused.
func SealedPageKey(bucket int, number uint64) string {
	return HeadPageKey(bucket) + "." + strconv.FormatUint(number, 10)
}

// IsJobPageKey reports whether a key belongs to a head page or a sealed page.
func IsJobPageKey(key string) bool { return strings.HasPrefix(key, jobPagePrefix) }

// IsActiveJobKey reports whether a key belongs to an unfinished job or a job page.
func IsActiveJobKey(key string) bool { return strings.HasPrefix(key, JobPrefix) }

// IsHeadPageKey reports whether a key belongs to a bucket's head page.
func IsHeadPageKey(key string) bool {
	return IsJobPageKey(key) && !strings.Contains(key[len(jobPagePrefix):], ".")
}

// ParseJobPageKey returns the bucket and the page number of a key made by HeadPageKey or
// SealedPageKey. sealed is 0 for a head page. ok is false for any other key.
func ParseJobPageKey(key string) (bucket int, sealed uint64, ok bool) {
	if !IsJobPageKey(key) {
		return 0, 0, false
	}
	head, number, isSealed := strings.Cut(key[len(jobPagePrefix):], ".")
	bucket, err := strconv.Atoi(head)
	if err == nil && isSealed {
		sealed, err = strconv.ParseUint(number, 10, 64)
	}
	return bucket, sealed, err == nil && bucket >= 0
}
