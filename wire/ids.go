// Format of job ids and task names.

package wire

import (
	"strconv"
	"strings"
)

// JobPrefix begins every job id.
const JobPrefix = "wk-"

// Number of digits after the prefix of a job id. Users may submit ids of up to maxUserIDDigits.
// Longer ids belong to jobs that other interfaces create, so the two kinds never collide.
const (
	minIDDigits     = 6
	maxUserIDDigits = 18
	maxIDDigits     = 20
)

// ValidID reports whether id has the format of a job id: JobPrefix and 6 to 20 digits.
func ValidID(id string) bool { return hasIDForm(id, maxIDDigits) }

// ValidUserID reports whether a user may submit a job with this id: JobPrefix and 6 to 18 digits.
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

// TaskName returns the name of a task on the wire, such as wk-000412/7.
func TaskName(id string, task int) string { return id + "/" + strconv.Itoa(task) }

// ParseTaskName splits the name of a task into its job's id and its number within the job. ok is
// false if the name is invalid.
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
