package yarn

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// This file is the ResourceManager's REST interface, in JSON, as published.

// Paths of the REST interface.
const (
	PathREST    = "/ws/v1/cluster"
	PathContext = "/ws/v1/umberdeal/context/" // followed by a task's name; for workers
)

const restBody = 256 << 10

type object = map[string]any

// REST is the handler of the REST interface.
func (f *Frontend) REST() http.Handler {
	mux := http.NewServeMux()
	get := func(path string, handle func(r *http.Request) (any, error)) {
		mux.HandleFunc("GET "+path, f.restful(handle))
	}
	get(PathREST, f.restInfo)
	get(PathREST+"/info", f.restInfo)
	get(PathREST+"/metrics", f.restMetrics)
	get(PathREST+"/scheduler", f.restScheduler)
	get(PathREST+"/nodes", f.restNodes)
	get(PathREST+"/apps", f.restApps)
	get(PathREST+"/apps/{id}", f.restApp)
	get(PathREST+"/apps/{id}/state", f.restState)
	get(PathREST+"/apps/{id}/containers", f.restContainers)
	get(PathContext+"{job}/{task}", func(r *http.Request) (any, error) {
		return f.Launch(r.Context(), r.PathValue("job")+"/"+r.PathValue("task"))
	})
	mux.HandleFunc("POST "+PathREST+"/apps/new-application", f.restful(func(r *http.Request) (any, error) {
		out, err := f.getNewApplication(r.Context(), nil, nil)
		if err != nil {
			return nil, err
		}
		id := out.GetApplicationId()
		return object{"application-id": appName(id.GetClusterTimestamp(), id.GetId()), "maximum-resource-capability": plain(out.GetMaximumCapability())}, nil
	}))
	mux.HandleFunc("POST "+PathREST+"/apps", f.restSubmit)
	mux.HandleFunc("PUT "+PathREST+"/apps/{id}/state", f.restful(f.restKill))
	return mux
}

// restError answers with the exception's class, as published.
func restError(w http.ResponseWriter, err error) {
	e := wire.AsError(err)
	status := http.StatusBadRequest
	switch e.Class {
	case wire.ClassNoApp, wire.ClassNoContainer:
		status = http.StatusNotFound
	case wire.ClassRetriable, wire.ClassStandby:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	case wire.ClassAccess, wire.ClassInvalidToken:
		status = http.StatusForbidden
	}
	class := string(e.Class)
	name := class[strings.LastIndexByte(class, '.')+1:]
	answerJSON(w, status, object{"RemoteException": object{"exception": name, "message": e.Text, "javaClassName": class}})
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that went away needs no answer
}

// let says whether a request's address may reach the front end, and refuses others.
func (f *Frontend) let(w http.ResponseWriter, r *http.Request) bool {
	if len(f.s.Networks) == 0 {
		return true
	}
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err == nil && f.s.prefixes.Contains(a.Addr().Unmap()) {
		return true
	}
	restError(w, wire.Errorf(wire.ClassAccess, "not from this address"))
	return false
}

func (f *Frontend) restful(handle func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !f.let(w, r) {
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), 10*time.Second)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, restBody)
		out, err := handle(r.WithContext(ctx))
		if err != nil {
			restError(w, err)
			return
		}
		answerJSON(w, http.StatusOK, out)
	}
}

func plain(r *pb.ResourceProto) object {
	return object{"memory": r.GetMemory(), "vCores": r.GetVirtualCores()}
}

func (f *Frontend) restInfo(r *http.Request) (any, error) {
	k, _, err := f.keys(r.Context())
	if err != nil {
		return nil, err
	}
	ha := "STANDBY"
	if f.core.Leads() {
		ha = "ACTIVE"
	}
	return object{"clusterInfo": object{"id": k.Stamp, "startedOn": k.Stamp, "state": "STARTED", "haState": ha,
		"resourceManagerVersion": "umberdeal", "hadoopVersion": "umberdeal"}}, nil
}

func (f *Frontend) restMetrics(r *http.Request) (any, error) {
	ms, err := f.core.Machines(r.Context())
	if err != nil {
		return nil, wire.Errorf(wire.ClassRetriable, "%v", err)
	}
	apps, err := f.list(r.Context(), applicationFilter{states: []pb.YarnApplicationStateProto{pb.YarnApplicationStateProto_ACCEPTED, pb.YarnApplicationStateProto_RUNNING}})
	if err != nil {
		return nil, err
	}
	var up, running, pending, containers int
	var cpus, mem, totalCPU, totalMem float64
	for _, m := range ms {
		if !m.Up {
			continue
		}
		up++
		cpus, mem = cpus+m.CPUs, mem+m.MemGB
		for _, t := range f.core.Types() {
			if t.Name == m.Type {
				totalCPU, totalMem = totalCPU+t.CPUs, totalMem+t.MemoryGB
			}
		}
	}
	for _, a := range apps {
		if a.GetYarnApplicationState() == pb.YarnApplicationStateProto_RUNNING {
			running++
		} else {
			pending++
		}
		containers += int(a.GetAppResource_Usage().GetNumUsedContainers())
	}
	return object{"clusterMetrics": object{"appsRunning": running, "appsPending": pending, "containersAllocated": containers,
		"totalNodes": len(ms), "activeNodes": up, "lostNodes": len(ms) - up, "allocatedVirtualCores": cpus, "totalVirtualCores": totalCPU,
		"availableVirtualCores": totalCPU - cpus, "allocatedMB": mem * 1024, "totalMB": totalMem * 1024, "availableMB": (totalMem - mem) * 1024}}, nil
}

func (f *Frontend) restScheduler(r *http.Request) (any, error) {
	var queues []object
	for i := range f.s.Queues {
		q, err := f.queueInfo(r.Context(), &f.s.Queues[i], true)
		if err != nil {
			return nil, err
		}
		n := 0
		for _, a := range q.Applications {
			n += int(a.GetAppResource_Usage().GetNumUsedContainers())
		}
		queues = append(queues, object{"queueName": q.GetQueueName(), "queuePath": f.s.Queues[i].Path, "state": "RUNNING",
			"team": f.s.Queues[i].Team, "numApplications": len(q.Applications), "numContainers": n})
	}
	return object{"scheduler": object{"schedulerInfo": object{"type": "capacityScheduler", "queueName": "root", "queues": object{"queue": queues}}}}, nil
}

func (f *Frontend) restNodes(r *http.Request) (any, error) {
	ms, err := f.core.Machines(r.Context())
	if err != nil {
		return nil, wire.Errorf(wire.ClassRetriable, "%v", err)
	}
	nodes := []object{}
	for i := range ms {
		n := f.nodeReport(&ms[i])
		nodes = append(nodes, object{"id": n.GetNodeId().GetHost() + ":" + strconv.Itoa(int(n.GetNodeId().GetPort())), "nodeHostName": ms[i].Name,
			"rack": n.GetRackName(), "state": strings.TrimPrefix(n.GetNodeState().String(), "NS_"), "numContainers": ms[i].Tasks,
			"usedMemoryMB": n.GetUsed().GetMemory(), "usedVirtualCores": n.GetUsed().GetVirtualCores(), "nodeLabels": n.GetNodeLabels()})
	}
	return object{"nodes": object{"node": nodes}}, nil
}

func restAppOf(a *pb.ApplicationReportProto) object {
	id := a.GetApplicationId()
	return object{"id": appName(id.GetClusterTimestamp(), id.GetId()), "user": a.GetUser(), "name": a.GetName(), "queue": a.GetQueue(),
		"state": a.GetYarnApplicationState().String(), "finalStatus": strings.TrimPrefix(a.GetFinalApplicationStatus().String(), "APP_"),
		"diagnostics": a.GetDiagnostics(), "trackingUrl": a.GetTrackingUrl(), "applicationType": a.GetApplicationType(),
		"applicationTags": strings.Join(a.GetApplicationTags(), ","), "startedTime": a.GetStartTime(), "finishedTime": a.GetFinishTime(),
		"priority": a.GetPriority().GetPriority(), "runningContainers": a.GetAppResource_Usage().GetNumUsedContainers(),
		"allocatedMB": a.GetAppResource_Usage().GetUsedResources().GetMemory(), "allocatedVCores": a.GetAppResource_Usage().GetUsedResources().GetVirtualCores(),
		"unmanagedApplication": a.GetUnmanagedApplication()}
}

func (f *Frontend) restApps(r *http.Request) (any, error) {
	q := r.URL.Query()
	split := func(name string) []string {
		var out []string
		for _, v := range q[name] {
			out = append(out, strings.Split(v, ",")...)
		}
		return out
	}
	filter := applicationFilter{types: split("applicationTypes"), users: split("user"), queues: split("queue"), tags: split("applicationTags"), name: q.Get("name")}
	filter.limit, _ = strconv.Atoi(q.Get("limit")) // 0, and thus the most, where there is none
	for _, s := range append(split("states"), split("state")...) {
		n, ok := pb.YarnApplicationStateProto_value[strings.ToUpper(s)]
		if !ok {
			return nil, wire.Errorf(wire.ClassYarn, "there is no state %q", s)
		}
		filter.states = append(filter.states, pb.YarnApplicationStateProto(n))
	}
	apps, err := f.list(r.Context(), filter)
	if err != nil {
		return nil, err
	}
	out := []object{}
	for _, a := range apps {
		out = append(out, restAppOf(a))
	}
	return object{"apps": object{"app": out}}, nil
}

func (f *Frontend) restReport(r *http.Request) (*pb.ApplicationReportProto, error) {
	id, ok := parseApp(r.PathValue("id"))
	if !ok {
		return nil, wire.Errorf(wire.ClassNoApp, "invalid application id %q", r.PathValue("id"))
	}
	a, _, jobs, _, err := f.read(r.Context(), id)
	if err != nil {
		return nil, err
	}
	return f.report(a, jobs), nil
}

func (f *Frontend) restApp(r *http.Request) (any, error) {
	a, err := f.restReport(r)
	if err != nil {
		return nil, err
	}
	return object{"app": restAppOf(a)}, nil
}

// restContainers lists the containers of an application's unfinished jobs.
func (f *Frontend) restContainers(r *http.Request) (any, error) {
	id, ok := parseApp(r.PathValue("id"))
	if !ok {
		return nil, wire.Errorf(wire.ClassNoApp, "invalid application id %q", r.PathValue("id"))
	}
	a, _, jobs, _, err := f.read(r.Context(), id)
	if err != nil {
		return nil, err
	}
	out := []object{}
	for i := range jobs {
		j := &jobs[i]
		goes := j.Record.Reservation.LaunchRanges.BitSet(j.Record.Job.Tasks)
		for t := range j.Record.Job.Tasks {
			o := object{"id": ContainerName(a.container(jobSeq(j.ID), t)), "task": nwire.TaskName(j.ID, t),
				"priority": parseTag(j.Record.Reservation.Tag).Priority, "node": "", "exitStatus": "", "state": "WAITING"}
			if p, ok := j.Placements[t]; ok {
				o["node"], o["state"] = p.Machine, "ALLOCATED"
				if goes.Test(uint(t)) {
					o["state"] = "RUNNING"
				}
				if j.Stopping[t] {
					o["state"] = "STOPPING"
				}
			}
			if how, ok := j.Outcomes[t]; ok {
				o["state"] = "COMPLETE"
				o["exitStatus"], _ = exitStatus(how)
			}
			out = append(out, o)
		}
	}
	return object{"containers": object{"container": out}}, nil
}

func (f *Frontend) restState(r *http.Request) (any, error) {
	a, err := f.restReport(r)
	if err != nil {
		return nil, err
	}
	return object{"state": a.GetYarnApplicationState().String()}, nil
}

func (f *Frontend) restKill(r *http.Request) (any, error) {
	var in struct {
		State string `json:"state"`
		Diag  string `json:"diagnostics"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.State != "KILLED" {
		return nil, wire.Errorf(wire.ClassYarn, "only the state KILLED can be asked for")
	}
	id, ok := parseApp(r.PathValue("id"))
	if !ok {
		return nil, wire.Errorf(wire.ClassNoApp, "invalid application id %q", r.PathValue("id"))
	}
	if _, err := f.killApplication(r.Context(), nil, &pb.KillApplicationRequestProto{ApplicationId: id, Diagnostics: &in.Diag}); err != nil {
		return nil, err
	}
	return f.restState(r)
}

// restJob is a submission in JSON.
type restJob struct {
	ID        string   `json:"application-id"`
	Name      string   `json:"application-name"`
	Queue     string   `json:"queue"`
	Priority  int32    `json:"priority"`
	Type      string   `json:"application-type"`
	Tags      []string `json:"application-tags"`
	Unmanaged bool     `json:"unmanaged-AM"`
	Attempts  int32    `json:"max-app-attempts"`
	Label     string   `json:"am-node-label-expression"`
	Resource  struct {
		Memory int64 `json:"memory"`
		VCores int32 `json:"vCores"`
	} `json:"resource"`
	Spec struct {
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

func (f *Frontend) restSubmit(w http.ResponseWriter, r *http.Request) {
	if !f.let(w, r) {
		return
	}
	var in restJob
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, restBody)).Decode(&in); err != nil {
		restError(w, wire.Errorf(wire.ClassYarn, "malformed submission: %v", err))
		return
	}
	id, ok := parseApp(in.ID)
	if !ok {
		restError(w, wire.Errorf(wire.ClassYarn, "invalid application id %q", in.ID))
		return
	}
	sc := &pb.ApplicationSubmissionContextProto{ApplicationId: id, ApplicationName: &in.Name, Queue: &in.Queue, Priority: &pb.PriorityProto{Priority: &in.Priority},
		ApplicationType: &in.Type, ApplicationTags: slices.Clone(in.Tags), UnmanagedAm: &in.Unmanaged, MaxAppAttempts: &in.Attempts,
		Resource: &pb.ResourceProto{Memory: &in.Resource.Memory, VirtualCores: &in.Resource.VCores}, AmContainerSpec: &pb.ContainerLaunchContextProto{}}
	if in.Label != "" {
		sc.NodeLabelExpression = &in.Label
	}
	if c := in.Spec.Commands.Command; c != "" {
		sc.AmContainerSpec.Command = []string{c}
	}
	for _, e := range in.Spec.Environment.Entry {
		sc.AmContainerSpec.Environment = append(sc.AmContainerSpec.Environment, &pb.StringStringMapProto{Key: proto.String(e.Key), Value: proto.String(e.Value)})
	}
	user := r.URL.Query().Get("user.name")
	if user == "" {
		user = "dr.who" // as published, for those who do not say
	}
	ctx, cancel := context.WithTimeout(r.Context(), 10*time.Second)
	defer cancel()
	if _, err := f.submitApplication(ctx, &wire.Caller{User: user}, &pb.SubmitApplicationRequestProto{ApplicationSubmissionContext: sc}); err != nil {
		restError(w, err)
		return
	}
	w.Header().Set("Location", PathREST+"/apps/"+in.ID)
	w.WriteHeader(http.StatusAccepted)
}
