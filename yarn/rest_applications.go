// The requests of the REST interface for applications.

package yarn

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// applicationObject returns the JSON object for a report.
func applicationObject(a *pb.ApplicationReportProto) jsonObject {
	usage := a.GetAppResource_Usage()
	return jsonObject{
		"id":                   applicationNameOf(a.GetApplicationId()),
		"user":                 a.GetUser(),
		"name":                 a.GetName(),
		"queue":                a.GetQueue(),
		"state":                a.GetYarnApplicationState().String(),
		"finalStatus":          strings.TrimPrefix(a.GetFinalApplicationStatus().String(), "APP_"),
		"diagnostics":          a.GetDiagnostics(),
		"trackingUrl":          a.GetTrackingUrl(),
		"applicationType":      a.GetApplicationType(),
		"applicationTags":      strings.Join(a.GetApplicationTags(), ","),
		"startedTime":          a.GetStartTime(),
		"finishedTime":         a.GetFinishTime(),
		"priority":             a.GetPriority().GetPriority(),
		"runningContainers":    usage.GetNumUsedContainers(),
		"allocatedMB":          usage.GetUsedResources().GetMemory(),
		"allocatedVCores":      usage.GetUsedResources().GetVirtualCores(),
		"unmanagedApplication": a.GetUnmanagedApplication(),
	}
}

func (f *Frontend) restApps(r *http.Request) (any, error) {
	filter, err := queryFilter(r)
	if err != nil {
		return nil, err
	}
	apps, err := f.listApplications(r.Context(), filter)
	if err != nil {
		return nil, err
	}
	out := []jsonObject{} // not null in JSON
	for _, a := range apps {
		out = append(out, applicationObject(a))
	}
	return jsonObject{"apps": jsonObject{"app": out}}, nil
}

// queryFilter returns the filter in the query of a request. A parameter with several values can be
// repeated or have comma-separated values.
func queryFilter(r *http.Request) (applicationFilter, error) {
	query := r.URL.Query()
	list := func(name string) []string {
		var out []string
		for _, v := range query[name] {
			out = append(out, strings.Split(v, ",")...)
		}
		return out
	}
	filter := applicationFilter{
		types:  list("applicationTypes"),
		users:  list("user"),
		queues: list("queue"),
		tags:   list("applicationTags"),
		name:   query.Get("name"),
	}
	filter.limit, _ = strconv.Atoi(query.Get("limit")) // 0 if it is missing or invalid
	for _, state := range append(list("states"), list("state")...) {
		n, ok := pb.YarnApplicationStateProto_value[strings.ToUpper(state)]
		if !ok {
			return applicationFilter{}, wire.Errorf(wire.ClassYarn, "there is no state %q", state)
		}
		filter.states = append(filter.states, pb.YarnApplicationStateProto(n))
	}
	return filter, nil
}

// restReport returns the report of the application in the path of a request.
func (f *Frontend) restReport(r *http.Request) (*pb.ApplicationReportProto, error) {
	id, err := pathApplication(r)
	if err != nil {
		return nil, err
	}
	snap, err := f.readApplication(r.Context(), id)
	if err != nil {
		return nil, err
	}
	return f.report(snap.app, snap.jobs), nil
}

func (f *Frontend) restApp(r *http.Request) (any, error) {
	report, err := f.restReport(r)
	if err != nil {
		return nil, err
	}
	return jsonObject{"app": applicationObject(report)}, nil
}

func (f *Frontend) restAppState(r *http.Request) (any, error) {
	report, err := f.restReport(r)
	if err != nil {
		return nil, err
	}
	return jsonObject{"state": report.GetYarnApplicationState().String()}, nil
}

// restContainers lists the containers of an application's unfinished jobs.
func (f *Frontend) restContainers(r *http.Request) (any, error) {
	id, err := pathApplication(r)
	if err != nil {
		return nil, err
	}
	snap, err := f.readApplication(r.Context(), id)
	if err != nil {
		return nil, err
	}
	out := []jsonObject{} // not null in JSON
	for i := range snap.jobs {
		for task := range snap.jobs[i].Record.Job.Tasks {
			out = append(out, containerObject(snap.app, &snap.jobs[i], task))
		}
	}
	return jsonObject{"containers": jsonObject{"container": out}}, nil
}

// containerObject returns the JSON object for a task as a container.
func containerObject(app *application, j *jobstore.ReservedJob, task int) jsonObject {
	object := jsonObject{
		"id":         ContainerName(app.containerID(jobSeq(j.ID), task)),
		"task":       nwire.TaskName(j.ID, task),
		"priority":   parseTag(j.Record.Reservation.Tag).Priority,
		"node":       "",
		"exitStatus": "",
		"state":      "WAITING",
	}
	if placement, ok := j.Placements[task]; ok {
		object["node"], object["state"] = placement.Machine, "ALLOCATED"
		if j.Record.Reservation.LaunchRanges.BitSet(j.Record.Job.Tasks).Test(uint(task)) {
			object["state"] = "RUNNING"
		}
		if j.Stopping[task] {
			object["state"] = "STOPPING"
		}
	}
	if outcome, ok := j.Outcomes[task]; ok {
		object["state"] = "COMPLETE"
		object["exitStatus"], _ = exitStatus(outcome)
	}
	return object
}

func (f *Frontend) restLaunchContext(r *http.Request) (any, error) {
	return f.LaunchContextOf(r.Context(), r.PathValue("job")+"/"+r.PathValue("task"))
}

func (f *Frontend) restKill(r *http.Request) (any, error) {
	var in struct {
		State       string `json:"state"`
		Diagnostics string `json:"diagnostics"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.State != "KILLED" {
		return nil, wire.Errorf(wire.ClassYarn, "only the state KILLED can be asked for")
	}
	id, err := pathApplication(r)
	if err != nil {
		return nil, err
	}
	if _, err := f.forceKillApplication(r.Context(), nil, &pb.KillApplicationRequestProto{ApplicationId: id, Diagnostics: &in.Diagnostics}); err != nil {
		return nil, err
	}
	return f.restAppState(r)
}

func (f *Frontend) restNewApplication(r *http.Request) (any, error) {
	out, err := f.getNewApplication(r.Context(), nil, nil)
	if err != nil {
		return nil, err
	}
	maximum := out.GetMaximumCapability()
	return jsonObject{
		"application-id":              applicationNameOf(out.GetApplicationId()),
		"maximum-resource-capability": jsonObject{"memory": maximum.GetMemory(), "vCores": maximum.GetVirtualCores()},
	}, nil
}

// submission is the JSON body of a request to submit an application.
type submission struct {
	ID          string   `json:"application-id"`
	Name        string   `json:"application-name"`
	Queue       string   `json:"queue"`
	Priority    int32    `json:"priority"`
	Type        string   `json:"application-type"`
	Tags        []string `json:"application-tags"`
	Unmanaged   bool     `json:"unmanaged-AM"`
	MaxAttempts int32    `json:"max-app-attempts"`
	NodeLabel   string   `json:"am-node-label-expression"`
	Resource    struct {
		Memory int64 `json:"memory"`
		VCores int32 `json:"vCores"`
	} `json:"resource"`
	ContainerSpec struct {
		Commands struct {
			Command string `json:"command"`
		} `json:"commands"`
		Environment struct {
			Entry []struct {
				Key   string `json:"key"`
				Value string `json:"value"`
			} `json:"entry"`
		} `json:"environment"`
	} `json:"am-container-spec"`
}

// submissionContext converts the submission to the message of ApplicationClientProtocol.
func (s *submission) submissionContext(id *pb.ApplicationIdProto) *pb.ApplicationSubmissionContextProto {
	out := &pb.ApplicationSubmissionContextProto{
		ApplicationId:   id,
		ApplicationName: &s.Name,
		Queue:           &s.Queue,
		Priority:        &pb.PriorityProto{Priority: &s.Priority},
		ApplicationType: &s.Type,
		ApplicationTags: slices.Clone(s.Tags),
		UnmanagedAm:     &s.Unmanaged,
		MaxAppAttempts:  &s.MaxAttempts,
		Resource:        &pb.ResourceProto{Memory: &s.Resource.Memory, VirtualCores: &s.Resource.VCores},
		AmContainerSpec: &pb.ContainerLaunchContextProto{},
	}
	if s.NodeLabel != "" {
		out.NodeLabelExpression = &s.NodeLabel
	}
	if command := s.ContainerSpec.Commands.Command; command != "" {
		out.AmContainerSpec.Command = []string{command}
	}
	for _, e := range s.ContainerSpec.Environment.Entry {
		out.AmContainerSpec.Environment = append(out.AmContainerSpec.Environment,
			&pb.StringStringMapProto{Key: proto.String(e.Key), Value: proto.String(e.Value)})
	}
	return out
}

// anonymousUser is the user of requests without a user name. Hadoop's default is the same.
const anonymousUser = "dr.who"

func (f *Frontend) restSubmit(w http.ResponseWriter, r *http.Request) {
	if !f.allowed(r) {
		writeRESTError(w, errAddressRefused)
		return
	}
	var in submission
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRESTBodyBytes)).Decode(&in); err != nil {
		writeRESTError(w, wire.Errorf(wire.ClassYarn, "malformed submission: %v", err))
		return
	}
	id, ok := parseApplicationName(in.ID)
	if !ok {
		writeRESTError(w, wire.Errorf(wire.ClassYarn, "invalid application id %q", in.ID))
		return
	}
	caller := &wire.Caller{User: r.URL.Query().Get("user.name")}
	if caller.User == "" {
		caller.User = anonymousUser
	}
	ctx, cancel := context.WithTimeout(r.Context(), restTimeout)
	defer cancel()
	if _, err := f.submitApplication(ctx, caller, &pb.SubmitApplicationRequestProto{ApplicationSubmissionContext: in.submissionContext(id)}); err != nil {
		writeRESTError(w, err)
		return
	}
	w.Header().Set("Location", PathREST+"/apps/"+in.ID)
	w.WriteHeader(http.StatusAccepted)
}
