package stage

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/client"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// LaunchContext is the launch context of all containers. Workers only simulate it.
var LaunchContext = &pb.ContainerLaunchContextProto{Command: []string{"work"}}

// ClientConfig returns the settings of the project's YARN client for all controllers.
func (s *Stage) ClientConfig() client.Config {
	return client.Config{Addrs: s.YARN, Dial: new(net.Dialer).DialContext, User: "review"}
}

// SubmitUnmanaged submits an application whose master runs in this process, and registers it.
func (s *Stage) SubmitUnmanaged(ctx context.Context, cfg client.Config, queue string) (*pb.ApplicationIdProto, *client.ApplicationMaster) {
	c := client.New(cfg)
	defer c.Close()
	id, _, err := c.NewApplication(ctx)
	s.Check("new application", err)
	s.Check("submit", c.Submit(ctx, &pb.ApplicationSubmissionContextProto{ApplicationId: id, Queue: &queue, UnmanagedAm: proto.Bool(true)}))
	report, err := c.Report(ctx, id)
	s.Check("report", err)
	master := client.NewApplicationMaster(cfg, report.GetAmRmToken())
	_, err = master.Register(ctx)
	s.Check("register", err)
	s.Note("application %s submitted, its master registered", AppName(id))
	return id, master
}

// AppName returns the name of an application.
func AppName(id *pb.ApplicationIdProto) string {
	return fmt.Sprintf("application_%d_%04d", id.GetClusterTimestamp(), id.GetId())
}

// Pause waits, or exits when the case's time is over.
func Pause(d time.Duration) { time.Sleep(d) }
