// Ids and names of applications, jobs and containers.

package yarn

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

const (
	// maxJobContainers is the largest number of containers in one job.
	maxJobContainers = 512
	// containersPerJobID is the size of the range of container numbers of each job. It is larger
	// than maxJobContainers, so that maxJobContainers can be raised later.
	containersPerJobID = 1024
)

// applicationName returns an application's id as text, in YARN's format.
func applicationName(clusterTimestamp int64, id int32) string {
	return fmt.Sprintf("application_%d_%04d", clusterTimestamp, id)
}

// applicationNameOf returns an application's id as text, in YARN's format.
func applicationNameOf(id *pb.ApplicationIdProto) string {
	return applicationName(id.GetClusterTimestamp(), id.GetId())
}

// applicationKey returns the key of an unfinished application's record.
func applicationKey(name string) string { return jobstore.AppPrefix + name }

// parseApplicationName parses the result of applicationName. It returns false for other texts.
func parseApplicationName(name string) (*pb.ApplicationIdProto, bool) {
	numbers, ok := strings.CutPrefix(name, "application_")
	if !ok {
		return nil, false
	}
	first, second, ok := strings.Cut(numbers, "_")
	clusterTimestamp, timestampErr := strconv.ParseInt(first, 10, 64)
	id, idErr := strconv.ParseInt(second, 10, 32)
	if !ok || timestampErr != nil || idErr != nil {
		return nil, false
	}
	return &pb.ApplicationIdProto{Id: proto.Int32(int32(id)), ClusterTimestamp: proto.Int64(clusterTimestamp)}, true
}

// The id of a job consists of a prefix, the id of the application, and the number of the job within
// the application.
const (
	jobIDPrefix  = "wk-8"
	jobSeqDigits = 9
)

// jobID returns the native id of an application's job. It has more digits than the id of a user's
// job can have, so the two kinds never collide.
func jobID(application int32, seq int) string {
	return fmt.Sprintf(jobIDPrefix+"%010d%0*d", application, jobSeqDigits, seq)
}

// jobSeq returns the number of a job within its application, or -1 if the id is invalid.
func jobSeq(id string) int {
	if len(id) < jobSeqDigits {
		return -1
	}
	seq, err := strconv.Atoi(id[len(id)-jobSeqDigits:])
	if err != nil {
		return -1
	}
	return seq
}

// jobApplication returns the id of the application to which a job belongs. It returns false if the
// job id is invalid.
func jobApplication(id string) (application int32, ok bool) {
	if len(id) < len(jobIDPrefix)+jobSeqDigits {
		return 0, false
	}
	_, err := fmt.Sscanf(id[len(jobIDPrefix):len(id)-jobSeqDigits], "%d", &application)
	return application, err == nil
}

// containerNumber returns the number in the id of a container. It is never reused within an
// application, since neither job numbers nor task numbers are.
func containerNumber(seq, task int) int64 { return int64(seq)*containersPerJobID + int64(task) + 1 }

// splitContainerNumber is the inverse of containerNumber.
func splitContainerNumber(n int64) (seq, task int) {
	return int((n - 1) / containersPerJobID), int((n - 1) % containersPerJobID)
}

// ContainerName returns a container's id as text, in YARN's format.
func ContainerName(id *pb.ContainerIdProto) string {
	attempt := id.GetAppAttemptId()
	application := attempt.GetApplicationId()
	return fmt.Sprintf("container_%d_%04d_%02d_%06d", application.GetClusterTimestamp(), application.GetId(), attempt.GetAttemptId(), id.GetId())
}
