package wire

import (
	"strconv"
	"strings"
)

// This file has the form of job ids and task names.

// JobPrefix begins every job id.
const JobPrefix = "wk-"

// Digits of a job id after its prefix. Ids with more digits than a user's belong to
// jobs that other interfaces make, so that they never meet.
const (
	minIDDigits     = 6
	maxUserIDDigits = 18
	maxIDDigits     = 20
)

// ValidID says whether an id has the form that all job ids have: the prefix and six or
// more digits.
func ValidID(id string) bool { return hasIDForm(id, maxIDDigits) }

// ValidUserID says whether an id may be that of a user's job.
func ValidUserID(id string) bool { return hasIDForm(id, maxUserIDDigits) }

func hasIDForm(id string, maxDigits int) bool {
	digits, ok := strings.CutPrefix(id, JobPrefix)
	if !ok || len(digits) < minIDDigits || len(digits) > maxDigits {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName is a task's name on the wire.
func TaskName(id string, task int) string { return id + "/" + strconv.Itoa(task) }

// ParseTaskName returns the job and the number of the task with a name.
func ParseTaskName(name string) (id string, task int, ok bool) {
	id, number, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	task, err := strconv.Atoi(number)
	if err != nil || task < 0 || !ValidID(id) {
		return "", 0, false
	}
	return id, task, true
}
