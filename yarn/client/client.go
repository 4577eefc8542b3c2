// Package client is for programs that run work through YARN's application API: submitters
// (Client) and application masters (ApplicationMaster). A call goes to any controller, here
// called node, and is retried at the next if one does not answer. All calls of this package
// may be repeated: they are idempotent, or, like getNewApplication, do no harm.
package client

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// Names of the protocols in Hadoop RPC.
const (
	ProtoClient  = "org.apache.hadoop.yarn.api.ApplicationClientProtocolPB"
	ProtoMaster  = "org.apache.hadoop.yarn.api.ApplicationMasterProtocolPB"
	ProtoManager = "org.apache.hadoop.yarn.api.ContainerManagementProtocolPB"
)

// Client submits, inspects and kills applications.
type Client struct{ conn *failoverConn }

// New returns a client. Connections are opened when they are needed.
func New(cfg Config) *Client { return &Client{newFailoverConn(cfg, ProtoClient, nil)} }

// Close closes the client's connection.
func (c *Client) Close() { c.conn.close() }

// NewApplication returns the id of an application to be submitted, and the most of each resource
// that any machine type has.
func (c *Client) NewApplication(ctx context.Context) (*pb.ApplicationIdProto, *pb.ResourceProto, error) {
	var out pb.GetNewApplicationResponseProto
	err := c.conn.call(ctx, "getNewApplication", &pb.GetNewApplicationRequestProto{}, &out)
	return out.GetApplicationId(), out.GetMaximumCapability(), err
}

// Submit submits an application.
func (c *Client) Submit(ctx context.Context, submission *pb.ApplicationSubmissionContextProto) error {
	in := &pb.SubmitApplicationRequestProto{ApplicationSubmissionContext: submission}
	return c.conn.call(ctx, "submitApplication", in, &pb.SubmitApplicationResponseProto{})
}

// Report returns an application's report; that of an unmanaged one has its master's token.
func (c *Client) Report(ctx context.Context, id *pb.ApplicationIdProto) (*pb.ApplicationReportProto, error) {
	var out pb.GetApplicationReportResponseProto
	err := c.conn.call(ctx, "getApplicationReport", &pb.GetApplicationReportRequestProto{ApplicationId: id}, &out)
	return out.GetApplicationReport(), err
}

// Kill ends an application.
func (c *Client) Kill(ctx context.Context, id *pb.ApplicationIdProto) error {
	return c.conn.call(ctx, "forceKillApplication", &pb.KillApplicationRequestProto{ApplicationId: id}, &pb.KillApplicationResponseProto{})
}

// Call makes any other call of ApplicationClientProtocol. It may be executed more than once.
func (c *Client) Call(ctx context.Context, method string, in, out proto.Message) error {
	return c.conn.call(ctx, method, in, out)
}
