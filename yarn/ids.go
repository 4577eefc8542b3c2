package yarn

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// maxJobContainers is the largest number of containers in one job. Container numbers leave space
// for containersPerJobID in each job, so that the limit may be raised.
const (
	maxJobContainers   = 512
	containersPerJobID = 1024
)

// applicationName returns an application's id as text, in YARN's format.
func applicationName(clusterTimestamp int64, id int32) string {
	return fmt.Sprintf("application_%d_%04d", clusterTimestamp, id)
}

// nameOf returns an application's id as text, in YARN's format.
func nameOf(id *pb.ApplicationIdProto) string {
	return applicationName(id.GetClusterTimestamp(), id.GetId())
}

// applicationKey returns the key of an unfinished application's record.
func applicationKey(name string) string { return jobstore.AppPrefix + name }

// parseApplicationName is the inverse of applicationName; false if the text is not such an id.
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

// A job's id is a prefix, the application's id, and the job's number within the application.
const (
	jobIDPrefix  = "wk-8"
	jobSeqDigits = 9
)

// jobID returns the native id of an application's job. It has more digits than ids of users' jobs
// may have, so that they can't be confused.
func jobID(application int32, seq int) string {
	return fmt.Sprintf(jobIDPrefix+"%010d%0*d", application, jobSeqDigits, seq)
}

// jobSeq returns a job's number within its application, or -1.
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

// jobApplication returns the id of the application that a job belongs to.
func jobApplication(id string) (application int32, ok bool) {
	if len(id) < len(jobIDPrefix)+jobSeqDigits {
		return 0, false
	}
	_, err := fmt.Sscanf(id[len(jobIDPrefix):len(id)-jobSeqDigits], "%d", &application)
	return application, err == nil
}

// containerNumber returns the number in a container's id. It is never reused within its
// application, since job numbers and tasks are not.
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
