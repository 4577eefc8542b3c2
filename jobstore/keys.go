package jobstore

import (
	"strconv"
	"strings"
)

// Everything about unfinished jobs is stored under ActivePrefix, so that a leader can load it with one
// listing and follow it with one watch.
const (
	ActivePrefix = "w/"
	// JobPrefix is the part of ActivePrefix that users' requests change.
	JobPrefix = "w/j/"
	// AppPrefix is where API front ends store the records of the applications that own reserved jobs.
	// It is under ActivePrefix so that one read barrier brings applications and jobs up to date
	// together; the leader ignores these keys.
	AppPrefix = ActivePrefix + "y/"
	// jobPagePrefix is where job pages are stored. The plus sign keeps them apart from jobs with keys of
	// their own, since no job id begins with one.
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

// JobKey is the key of an unfinished job that does not share a job page.
func JobKey(id string) string { return JobPrefix + id }

// ParseJobKey is the inverse of JobKey.
func ParseJobKey(key string) (id string, ok bool) {
	id, ok = strings.CutPrefix(key, JobPrefix)
	return id, ok && !IsJobPageKey(key)
}

// FinalKey is the key of a finished or cancelled job. It is never deleted.
func FinalKey(id string) string { return finalPrefix + id }

// ParseFinalKey is the inverse of FinalKey.
func ParseFinalKey(key string) (id string, ok bool) { return strings.CutPrefix(key, finalPrefix) }

// PlacementPageKey is the key of a page of placement records.
func PlacementPageKey(page int) string { return placementPagePrefix + strconv.Itoa(page) }

// ParsePlacementPageKey is the inverse of PlacementPageKey.
func ParsePlacementPageKey(key string) (page int, ok bool) {
	num, ok := strings.CutPrefix(key, placementPagePrefix)
	if !ok {
		return 0, false
	}
	page, err := strconv.Atoi(num)
	return page, err == nil && page >= 0
}

// HeadPageKey is the key of a bucket's head page, the one to which new jobs are added (see JobPage). It
// is never deleted, so that a delayed transaction that expects it to be absent fails.
func HeadPageKey(bucket int) string { return jobPagePrefix + strconv.Itoa(bucket) }

// SealedPageKey is the key of a sealed page: one that holds entries which the bucket's head page had no
// room for. Numbers are not reused.
func SealedPageKey(bucket int, number uint64) string {
	return HeadPageKey(bucket) + "." + strconv.FormatUint(number, 10)
}

// IsJobPageKey reports whether a key is that of a head page or of a sealed page.
func IsJobPageKey(key string) bool { return strings.HasPrefix(key, jobPagePrefix) }

// IsActiveJobKey reports whether a key is that of an unfinished job or of a job page.
func IsActiveJobKey(key string) bool { return strings.HasPrefix(key, JobPrefix) }

// IsHeadPageKey reports whether a key is that of a bucket's head page.
func IsHeadPageKey(key string) bool {
	return IsJobPageKey(key) && !strings.Contains(key[len(jobPagePrefix):], ".")
}

// ParseJobPageKey is the inverse of HeadPageKey and SealedPageKey; sealed is 0 for a head page.
func ParseJobPageKey(key string) (bucket int, sealed uint64, ok bool) {
	if !IsJobPageKey(key) {
		return 0, 0, false
	}
	head, num, isSealed := strings.Cut(key[len(jobPagePrefix):], ".")
	bucket, err := strconv.Atoi(head)
	if err == nil && isSealed {
		sealed, err = strconv.ParseUint(num, 10, 64)
	}
	return bucket, sealed, err == nil && bucket >= 0
}
