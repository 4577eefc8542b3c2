// Helpers of the scenario tests: a YARN client of a simulated cluster, and its masters.

package yarn_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/yarn"
	"github.com/umberdeal/umberdeal/yarn/client"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

const yarnSettings = `
master_s = 40.0
start_s = 30.0
estimate_s = 60.0
grace_s = 3.0
[[queues]]
path = "root.core"
team = "core"
[[priorities]]
at_least = 0
native = "normal"
[[labels]]
name = "zone-b"
zone = "b"
`

// runScenario runs a scenario in a cluster whose controllers all serve YARN clients. At the end it
// checks that no container ran more than once.
func runScenario(t *testing.T, options fake.Options, play func(t *testing.T, cluster *fake.Cluster, user *testClient)) {
	t.Helper()
	options.YARN = yarnSettings
	scenario.Run(t, options, func(t *testing.T, cluster *fake.Cluster) {
		var addrs []string
		for _, n := range cluster.Nodes() {
			addrs = append(addrs, n+":8032")
		}
		user := &testClient{t: t, cfg: client.Config{Addrs: addrs, Dial: cluster.Network.Dial("am"), User: "ann", Timeout: 3 * time.Second}}
		user.client = client.New(user.cfg)
		defer user.client.Close()
		play(t, cluster, user)
		if n := cluster.RanMoreThanOnce(); n != 0 {
			t.Errorf("%d containers ran more than once", n)
		}
	})
}

// testClient is a YARN client of the cluster.
type testClient struct {
	t      *testing.T
	cfg    client.Config
	client *client.Client
}

func (user *testClient) ctx() context.Context { return user.t.Context() }

// startApplication submits an unmanaged application and returns its registered master.
func (user *testClient) startApplication() (*pb.ApplicationIdProto, *client.ApplicationMaster) {
	user.t.Helper()
	id, _, err := user.client.NewApplication(user.ctx())
	if err != nil {
		user.t.Fatal(err)
	}
	if err := user.client.Submit(user.ctx(), &pb.ApplicationSubmissionContextProto{ApplicationId: id, Queue: proto.String("core"), UnmanagedAm: proto.Bool(true)}); err != nil {
		user.t.Fatal(err)
	}
	report, err := user.client.Report(user.ctx(), id)
	if err != nil {
		user.t.Fatal(err)
	}
	master := client.NewApplicationMaster(user.cfg, report.GetAmRmToken())
	if _, err := master.Register(user.ctx()); err != nil {
		user.t.Fatal(err)
	}
	return id, master
}

func (user *testClient) mustReadState(id *pb.ApplicationIdProto) pb.YarnApplicationStateProto {
	user.t.Helper()
	report, err := user.client.Report(user.ctx(), id)
	if err != nil {
		user.t.Fatal(err)
	}
	return report.GetYarnApplicationState()
}

// smallContainer is a container of two CPUs and four GB that may run on any node.
func smallContainer(priority int32) client.ContainerRequest {
	return client.ContainerRequest{Priority: priority, ResourceName: "*", RelaxLocality: true, MemoryMB: 4096, VCores: 2}
}

// launchContext is the launch context of all containers.
var launchContext = &pb.ContainerLaunchContextProto{Command: []string{"render --tile 7"}, Environment: []*pb.StringStringMapProto{
	{Key: proto.String("LAYER"), Value: proto.String("parcels")}, {Key: proto.String("SHEET"), Value: proto.String("12")},
	{Key: proto.String("HALL"), Value: proto.String("a")}, {Key: proto.String("ZOOM"), Value: proto.String("9")}}}

// runMaster sends heartbeats for the given duration and starts the allocated containers. It returns
// the number of completed containers by exit status, and the number of preemption messages.
func (user *testClient) runMaster(master *client.ApplicationMaster, duration time.Duration) (ended map[int32]int, warned int) {
	user.t.Helper()
	ended = map[int32]int{}
	var unstarted []*pb.ContainerProto
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second) {
		ctx, cancel := context.WithTimeout(user.ctx(), 90*time.Second)
		update, err := master.Heartbeat(ctx)
		unstarted = append(unstarted, update.Allocated...)
		if err == nil && len(unstarted) > 0 {
			var failed map[int64]string
			failed, err = master.Start(ctx, launchContext, unstarted...)
			// Containers that could not be started are tried again.
			unstarted = slices.DeleteFunc(unstarted, func(c *pb.ContainerProto) bool { return failed[c.GetId().GetId()] == "" })
		}
		cancel()
		if err != nil {
			user.t.Fatalf("heartbeat: %v", err)
		}
		warned += len(update.Preempting)
		for _, s := range update.Completed {
			ended[s.GetExitStatus()]++
		}
		if update.Shutdown {
			break
		}
	}
	return ended, warned
}

// assertNoRecords checks that no record of an application, its jobs or containers is left.
func assertNoRecords(t *testing.T, cluster *fake.Cluster) {
	t.Helper()
	for _, k := range append(cluster.Store.JobKeys(), cluster.Store.Keys("yx/")...) {
		if strings.HasPrefix(k, "w/j/") || strings.HasPrefix(k, "yx/") || strings.HasPrefix(k, "w/y/application") {
			t.Errorf("record %s remains", k)
		}
	}
}

// mustReadLaunchContext returns the launch context of a task, read as a worker reads it.
func mustReadLaunchContext(t *testing.T, cluster *fake.Cluster, task string) yarn.LaunchContext {
	t.Helper()
	var c yarn.LaunchContext
	status, body := restCall(t, cluster, http.MethodGet, yarn.PathContext+task, "")
	if status != http.StatusOK || json.Unmarshal(body, &c) != nil {
		t.Fatalf("context of %s: %d %s", task, status, body)
	}
	return c
}

// restCall sends a request to the REST interface of the first controller. It returns the status and
// the body of the answer.
func restCall(t *testing.T, cluster *fake.Cluster, method, path, body string) (int, []byte) {
	t.Helper()
	httpClient := &http.Client{Transport: &http.Transport{DialContext: cluster.Network.Dial("am"), DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+cluster.Nodes()[0]+":8088"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, b
}
