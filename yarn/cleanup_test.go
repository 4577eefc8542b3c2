// Tests that crashes while an application or an attempt ends leave nothing behind.

package yarn_test

import (
	"encoding/base64"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/yarn/client"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// restartAll kills all controllers and starts them again.
func restartAll(cluster *fake.Cluster) {
	cluster.KillAll()
	time.Sleep(time.Second)
	cluster.StartAll()
}

// awaitHeldTransaction waits until the key-value store holds a transaction back. It fails the test
// after the timeout.
func awaitHeldTransaction(t *testing.T, cluster *fake.Cluster, timeout time.Duration) {
	t.Helper()
	for end := time.Now().Add(timeout); cluster.Store.PendingTransactions() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no transaction was held within %v", timeout)
		}
	}
}

// All controllers crash while the launch contexts of a killed application are deleted. The contexts
// must be deleted after the restart. Formerly, the record of the application moved to the finished
// ones before the deletion, so nothing looked for the contexts again. They stayed in the store
// forever, one for each container.
func TestLaunchContextsAreDeletedAfterACrash(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		id, master := user.startApplication()
		defer master.Close()
		master.Request(smallContainer(1), 3)
		user.runMaster(master, 8*time.Second)
		if len(cluster.Store.Keys("yx/")) == 0 {
			t.Fatal("no launch contexts are stored")
		}
		release := cluster.Store.HoldNextTransactionOn("yx/")
		defer release()
		killed := make(chan error, 1)
		go func() { killed <- user.client.Kill(t.Context(), id) }()
		awaitHeldTransaction(t, cluster, 20*time.Second)
		restartAll(cluster)
		<-killed // the result does not matter, since the restart interrupts the call
		time.Sleep(40 * time.Second)
		if state := user.mustReadState(id); state != pb.YarnApplicationStateProto_KILLED {
			t.Errorf("application is %v, want KILLED", state)
		}
		assertNoRecords(t, cluster)
	})
}

// The master of a managed application ends, and the leader crashes while it cancels the jobs of
// that attempt. The next leader must cancel them. Formerly, the next attempt was recorded before
// the cancellation, so the next leader only launched the next master. The jobs of the first attempt
// remained, and their containers kept their resources.
func TestJobsOfAnAttemptAreCancelledAfterACrash(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		id, master, job := user.startManagedApplication(cluster)
		defer master.Close()
		release := cluster.Store.HoldNextTransactionOn("f/" + job)
		defer release()
		ended := make(chan struct{})
		go func() { // the master sends heartbeats until its task ends
			defer close(ended)
			for cluster.Store.PendingTransactions() == 0 {
				_, _ = master.Heartbeat(t.Context()) // refused after the end of its attempt
				time.Sleep(time.Second)
			}
		}()
		awaitHeldTransaction(t, cluster, 2*time.Minute)
		<-ended
		restartAll(cluster)
		time.Sleep(30 * time.Second)
		if keys := cluster.Store.Keys("w/j/"); slices.Contains(keys, "w/j/"+job) {
			t.Errorf("job %s of the first attempt still exists: %v", job, keys)
		}
		if state := user.mustReadState(id); state != pb.YarnApplicationStateProto_ACCEPTED {
			t.Errorf("application is %v, want ACCEPTED", state)
		}
	})
}

// startManagedApplication submits an application whose master runs as a task. It registers this
// master and requests more containers than the cluster has room for. It returns the application,
// the master and the id of the job of the containers.
func (user *testClient) startManagedApplication(cluster *fake.Cluster) (*pb.ApplicationIdProto, *client.ApplicationMaster, string) {
	user.t.Helper()
	id, _, err := user.client.NewApplication(user.ctx())
	if err != nil {
		user.t.Fatal(err)
	}
	err = user.client.Submit(user.ctx(), &pb.ApplicationSubmissionContextProto{ApplicationId: id, Queue: proto.String("core"), MaxAppAttempts: proto.Int32(2),
		Resource: &pb.ResourceProto{Memory: proto.Int64(1024), VirtualCores: proto.Int32(1)}, AmContainerSpec: launchContext})
	if err != nil {
		user.t.Fatal(err)
	}
	time.Sleep(10 * time.Second)
	before := cluster.Store.Keys("w/j/")
	if len(before) != 1 {
		user.t.Fatalf("got jobs %v, want one", before)
	}
	env := mustReadLaunchContext(user.t, cluster, strings.TrimPrefix(before[0], "w/j/")+"/0").Env
	password, err := base64.StdEncoding.DecodeString(env["UMBERDEAL_AM_TOKEN_PASSWORD"])
	if err != nil {
		user.t.Fatal(err)
	}
	master := client.NewApplicationMaster(user.cfg, &pb.TokenProto{Identifier: []byte(env["UMBERDEAL_AM_TOKEN_ID"]), Password: password})
	if _, err := master.Register(user.ctx()); err != nil {
		user.t.Fatal(err)
	}
	master.Request(smallContainer(1), 60)
	if _, err := master.Heartbeat(user.ctx()); err != nil {
		user.t.Fatal(err)
	}
	asked := slices.DeleteFunc(cluster.Store.Keys("w/j/"), func(key string) bool { return key == before[0] })
	if len(asked) != 1 {
		user.t.Fatalf("got jobs %v besides %v, want one", asked, before)
	}
	return id, master, strings.TrimPrefix(asked[0], "w/j/")
}
