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

// restartAll ends all controllers, and starts them again.
func restartAll(w *fake.Cluster) {
	w.KillAll()
	time.Sleep(time.Second)
	w.StartAll()
}

// awaitHeldTransaction waits until the key-value store holds a transaction back.
func awaitHeldTransaction(t *testing.T, w *fake.Cluster, timeout time.Duration) {
	t.Helper()
	for end := time.Now().Add(timeout); w.Store.PendingTransactions() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no such transaction")
		}
	}
}

// An application is killed, and all controllers end while its launch contexts are deleted. Its
// record had been moved to the finished ones before that, so that nobody looked for its contexts
// again: they stayed in the store for good, one for each container.
func TestLaunchContextsAreDeletedAfterACrash(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		id, m := user.startApplication()
		defer m.Close()
		m.Request(smallContainer(1), 3)
		user.runMaster(m, 8*time.Second)
		if len(w.Store.Keys("yx/")) == 0 {
			t.Fatal("no launch contexts")
		}
		release := w.Store.HoldNextTransactionOn("yx/")
		defer release()
		killed := make(chan error, 1)
		go func() { killed <- user.client.Kill(t.Context(), id) }()
		awaitHeldTransaction(t, w, 20*time.Second)
		restartAll(w)
		<-killed // with an error, or not: the restart interrupts it
		time.Sleep(40 * time.Second)
		if st := user.mustReadState(id); st != pb.YarnApplicationStateProto_KILLED {
			t.Errorf("it is %v", st)
		}
		assertNoRecords(t, w)
	})
}

// A managed application's master ends, and the leader ends while it cancels the jobs of that
// attempt. The next attempt had been recorded before that, so that the next leader only launched
// its master: the first attempt's jobs stayed, and with them its containers and what they hold.
func TestJobsOfAnAttemptAreCancelledAfterACrash(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		id, m, job := user.startManagedApplication(w)
		defer m.Close()
		release := w.Store.HoldNextTransactionOn("f/" + job)
		defer release()
		ended := make(chan struct{})
		go func() { // the master, until its task ends
			defer close(ended)
			for w.Store.PendingTransactions() == 0 {
				_, _ = m.Heartbeat(t.Context()) // refused once its attempt is over
				time.Sleep(time.Second)
			}
		}()
		awaitHeldTransaction(t, w, 2*time.Minute)
		<-ended
		restartAll(w)
		time.Sleep(30 * time.Second)
		if keys := w.Store.Keys("w/j/"); slices.Contains(keys, "w/j/"+job) {
			t.Errorf("the first attempt's %s is there: %v", job, keys)
		}
		if st := user.mustReadState(id); st != pb.YarnApplicationStateProto_ACCEPTED {
			t.Errorf("the application is %v", st)
		}
	})
}

// startManagedApplication submits an application whose master runs as a task, registers that
// master, and has it ask for more containers than there is room for. It returns the id of the job
// of these.
func (user *testClient) startManagedApplication(w *fake.Cluster) (*pb.ApplicationIdProto, *client.ApplicationMaster, string) {
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
	before := w.Store.Keys("w/j/")
	if len(before) != 1 {
		user.t.Fatalf("jobs: %v", before)
	}
	env := mustReadLaunchContext(user.t, w, strings.TrimPrefix(before[0], "w/j/")+"/0").Env
	password, err := base64.StdEncoding.DecodeString(env["UMBERDEAL_AM_TOKEN_PASSWORD"])
	if err != nil {
		user.t.Fatal(err)
	}
	m := client.NewApplicationMaster(user.cfg, &pb.TokenProto{Identifier: []byte(env["UMBERDEAL_AM_TOKEN_ID"]), Password: password})
	if _, err := m.Register(user.ctx()); err != nil {
		user.t.Fatal(err)
	}
	m.Request(smallContainer(1), 60)
	if _, err := m.Heartbeat(user.ctx()); err != nil {
		user.t.Fatal(err)
	}
	asked := slices.DeleteFunc(w.Store.Keys("w/j/"), func(key string) bool { return key == before[0] })
	if len(asked) != 1 {
		user.t.Fatalf("jobs: %v and %v", before, asked)
	}
	return id, m, strings.TrimPrefix(asked[0], "w/j/")
}
