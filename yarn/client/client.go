// Package client is the client library of YARN's application API. Programs that submit applications
// use Client, and application masters use ApplicationMaster. A call goes to any controller, called
// node in this package. If the node does not answer, the call is retried at the next node. It is
// safe to repeat all calls: they are idempotent or, like getNewApplication, harmless when repeated.
package client

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// Names of the protocols in Hadoop RPC.
const (
	ProtoApplicationClient   = "org.apache.hadoop.yarn.api.ApplicationClientProtocolPB"
	ProtoApplicationMaster   = "org.apache.hadoop.yarn.api.ApplicationMasterProtocolPB"
	ProtoContainerManagement = "org.apache.hadoop.yarn.api.ContainerManagementProtocolPB"
)

// Client submits, inspects and kills applications. It is safe for concurrent use. Each method
// retries until it gets an answer, a final exception (*wire.Error) or its context ends.
type Client struct{ conn *failoverConn }

// New returns a client. The first call opens a connection.
func New(cfg Config) *Client { return &Client{newFailoverConn(cfg, ProtoApplicationClient, nil)} }

// Close closes the client's connection.
func (c *Client) Close() { c.conn.close() }

// NewApplication returns an id for a new application, and the maximum of each resource over all
// machine types.
func (c *Client) NewApplication(ctx context.Context) (*pb.ApplicationIdProto, *pb.ResourceProto, error) {
	var out pb.GetNewApplicationResponseProto
	err := c.conn.call(ctx, "getNewApplication", &pb.GetNewApplicationRequestProto{}, &out)
	return out.GetApplicationId(), out.GetMaximumCapability(), err
}

// Submit submits an application with an id from NewApplication.
func (c *Client) Submit(ctx context.Context, submission *pb.ApplicationSubmissionContextProto) error {
	in := &pb.SubmitApplicationRequestProto{ApplicationSubmissionContext: submission}
	return c.conn.call(ctx, "submitApplication", in, &pb.SubmitApplicationResponseProto{})
}

// Report returns the report of an application. For an unmanaged application it contains the token
// for its master.
func (c *Client) Report(ctx context.Context, id *pb.ApplicationIdProto) (*pb.ApplicationReportProto, error) {
	var out pb.GetApplicationReportResponseProto
	err := c.conn.call(ctx, "getApplicationReport", &pb.GetApplicationReportRequestProto{ApplicationId: id}, &out)
	return out.GetApplicationReport(), err
}

// Kill ends an application.
func (c *Client) Kill(ctx context.Context, id *pb.ApplicationIdProto) error {
	return c.conn.call(ctx, "forceKillApplication", &pb.KillApplicationRequestProto{ApplicationId: id}, &pb.KillApplicationResponseProto{})
}

// Call calls any method of ApplicationClientProtocol and reads the answer into out. The server may
// execute the call more than once.
func (c *Client) Call(ctx context.Context, method string, in, out proto.Message) error {
	return c.conn.call(ctx, method, in, out)
}
