// The requests of the REST interface for the cluster, its nodes and its queues.

package yarn

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

func (f *Frontend) restInfo(r *http.Request) (any, error) {
	ring, _, err := f.readKeyring(r.Context())
	if err != nil {
		return nil, err
	}
	haState := "STANDBY"
	if f.controller.IsLeader() {
		haState = "ACTIVE"
	}
	return jsonObject{"clusterInfo": jsonObject{
		"id":                     ring.ClusterTimestamp,
		"startedOn":              ring.ClusterTimestamp,
		"state":                  "STARTED",
		"haState":                haState,
		"resourceManagerVersion": "umberdeal",
		"hadoopVersion":          "umberdeal",
	}}, nil
}

func (f *Frontend) restMetrics(r *http.Request) (any, error) {
	machines, err := f.machines(r.Context())
	if err != nil {
		return nil, err
	}
	apps, err := f.listApplications(r.Context(), applicationFilter{states: unfinishedStates})
	if err != nil {
		return nil, err
	}
	metrics := jsonObject{}
	f.addMachineMetrics(metrics, machines)
	addApplicationMetrics(metrics, apps)
	return jsonObject{"clusterMetrics": metrics}, nil
}

func (f *Frontend) addMachineMetrics(metrics jsonObject, machines []Machine) {
	up := 0
	var usedCPUs, usedGB, totalCPUs, totalGB float64
	for _, m := range machines {
		if !m.Up {
			continue
		}
		up++
		usedCPUs += m.CPUs
		usedGB += m.MemGB
		for _, t := range f.controller.MachineTypes() {
			if t.Name == m.Type {
				totalCPUs += t.CPUs
				totalGB += t.MemoryGB
			}
		}
	}
	metrics["totalNodes"] = len(machines)
	metrics["activeNodes"] = up
	metrics["lostNodes"] = len(machines) - up
	metrics["allocatedVirtualCores"] = usedCPUs
	metrics["totalVirtualCores"] = totalCPUs
	metrics["availableVirtualCores"] = totalCPUs - usedCPUs
	metrics["allocatedMB"] = usedGB * mbPerGB
	metrics["totalMB"] = totalGB * mbPerGB
	metrics["availableMB"] = (totalGB - usedGB) * mbPerGB
}

func addApplicationMetrics(metrics jsonObject, apps []*pb.ApplicationReportProto) {
	var running, pending int
	for _, a := range apps {
		if a.GetYarnApplicationState() == pb.YarnApplicationStateProto_RUNNING {
			running++
		} else {
			pending++
		}
	}
	metrics["appsRunning"] = running
	metrics["appsPending"] = pending
	metrics["containersAllocated"] = countContainers(apps)
}

// countContainers returns the number of placed containers of applications.
func countContainers(apps []*pb.ApplicationReportProto) int {
	n := 0
	for _, a := range apps {
		n += int(a.GetAppResource_Usage().GetNumUsedContainers())
	}
	return n
}

func (f *Frontend) restScheduler(r *http.Request) (any, error) {
	var queues []jsonObject
	for i := range f.settings.Queues {
		q := &f.settings.Queues[i]
		apps, err := f.queueApplications(r.Context(), q)
		if err != nil {
			return nil, err
		}
		queues = append(queues, jsonObject{
			"queueName":       leafName(q.Path),
			"queuePath":       q.Path,
			"state":           "RUNNING",
			"team":            q.Team,
			"numApplications": len(apps),
			"numContainers":   countContainers(apps),
		})
	}
	return jsonObject{"scheduler": jsonObject{"schedulerInfo": jsonObject{
		"type":      "capacityScheduler",
		"queueName": rootQueue,
		"queues":    jsonObject{"queue": queues},
	}}}, nil
}

func (f *Frontend) restNodes(r *http.Request) (any, error) {
	machines, err := f.machines(r.Context())
	if err != nil {
		return nil, err
	}
	nodes := []jsonObject{} // not null in JSON
	for i := range machines {
		report := f.nodeReport(&machines[i])
		nodes = append(nodes, jsonObject{
			"id":               report.GetNodeId().GetHost() + ":" + strconv.Itoa(int(report.GetNodeId().GetPort())),
			"nodeHostName":     machines[i].Name,
			"rack":             report.GetRackName(),
			"state":            strings.TrimPrefix(report.GetNodeState().String(), "NS_"),
			"numContainers":    machines[i].Tasks,
			"usedMemoryMB":     report.GetUsed().GetMemory(),
			"usedVirtualCores": report.GetUsed().GetVirtualCores(),
			"nodeLabels":       report.GetNodeLabels(),
		})
	}
	return jsonObject{"nodes": jsonObject{"node": nodes}}, nil
}
