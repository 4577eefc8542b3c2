// Container requests and their conversion between YARN's and native resources.

package yarn

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// anyNode is the resource name of containers that may run on any node.
const anyNode = "*"

// containerRequest describes one kind of container: its resources and where it may run. The request
// for a master is stored in the record of the application. Other requests are stored in the tags of
// their jobs.
type containerRequest struct {
	Priority            int32    `msgpack:"p"`
	AllocationRequestID int64    `msgpack:"r"`
	ResourceName        string   `msgpack:"n"` // a node, a rack or anyNode
	RelaxLocality       bool     `msgpack:"x"`
	NodeLabel           string   `msgpack:"l,omitempty"`
	MemoryMB            int64    `msgpack:"m"`
	VCores              int32    `msgpack:"c"`
	GPUs                int64    `msgpack:"g,omitempty"`
	GPUName             string   `msgpack:"gn,omitempty"`
	OnlyMachines        []string `msgpack:"-"` // if not empty, the only machines to use
}

const (
	// tagSeparator separates the fields of a tag.
	tagSeparator = "|"
	// tagFields is the number of fields of a tag.
	tagFields = 9
)

// tag returns the encoding of a request for the record of its job (jobstore.Reservation.Tag),
// without OnlyMachines. Requests for the same kind of container have the same tag.
func (r *containerRequest) tag() string {
	return fmt.Sprintf("%d|%d|%s|%v|%s|%d|%d|%d|%s", r.Priority, r.AllocationRequestID, r.ResourceName, r.RelaxLocality, r.NodeLabel,
		r.MemoryMB, r.VCores, r.GPUs, r.GPUName)
}

// parseTag parses the result of tag. A tag with a wrong number of fields yields a zero request.
func parseTag(tag string) (r containerRequest) {
	fields := strings.Split(tag, tagSeparator)
	if len(fields) != tagFields {
		return r
	}
	_, _ = fmt.Sscan(fields[0], &r.Priority) // valid, since tag encoded it
	_, _ = fmt.Sscan(fields[1], &r.AllocationRequestID)
	r.ResourceName, r.RelaxLocality, r.NodeLabel = fields[2], fields[3] == "true", fields[4]
	_, _ = fmt.Sscan(fields[5], &r.MemoryMB)
	_, _ = fmt.Sscan(fields[6], &r.VCores)
	_, _ = fmt.Sscan(fields[7], &r.GPUs)
	r.GPUName = fields[8]
	return r
}

// capability is the size of a container or machine.
type capability struct {
	memoryMB int64
	vcores   int32
	gpus     int64
	gpuName  string // resource name in the GPU request; empty: the first of Settings.Resources
}

func (r *containerRequest) capability() capability {
	return capability{memoryMB: r.MemoryMB, vcores: r.VCores, gpus: r.GPUs, gpuName: r.GPUName}
}

func (r *containerRequest) setCapability(c capability) {
	r.MemoryMB, r.VCores, r.GPUs, r.GPUName = c.memoryMB, c.vcores, c.gpus, c.gpuName
}

// Names of resources in YARN's API.
const (
	resourceMemory = "memory-mb"
	resourceVCores = "vcores"
)

// maxVCores is the largest number of cores in a request. Larger numbers are lowered to it, so that
// they fit an int32.
const maxVCores = 1 << 30

// parseCapability returns the requested size of a container. It fails if the size is negative or
// zero, or has an unknown resource.
func (f *Frontend) parseCapability(r *pb.ResourceProto) (capability, error) {
	c := capability{memoryMB: r.GetMemory(), vcores: r.GetVirtualCores()}
	for _, v := range r.GetResourceValueMap() {
		switch v.GetKey() {
		case resourceMemory:
			c.memoryMB = v.GetValue()
		case resourceVCores:
			c.vcores = int32(min(max(v.GetValue(), 0), maxVCores))
		default:
			if !f.addGPUs(&c, v) && v.GetValue() > 0 {
				return capability{}, wire.Errorf(wire.ClassBadRequest, "Invalid resource request, unknown resource %q", v.GetKey())
			}
		}
	}
	if c.memoryMB < 0 || c.vcores < 0 || c.gpus < 0 || c.memoryMB+int64(c.vcores)+c.gpus == 0 {
		return capability{}, wire.Errorf(wire.ClassBadRequest, "Invalid resource request, requested memory %d, vcores %d", c.memoryMB, c.vcores)
	}
	return c, nil
}

// addGPUs adds the GPUs of a requested resource to a size. It returns false if the settings have no
// resource with this name.
func (f *Frontend) addGPUs(c *capability, v *pb.ResourceInformationProto) bool {
	known := false
	for _, resource := range f.settings.Resources {
		if resource.Name == v.GetKey() {
			c.gpus += v.GetValue() * int64(resource.GPUs)
			c.gpuName, known = resource.Name, true
		}
	}
	return known
}

// resourceProto converts a size to the message of YARN's API.
func (f *Frontend) resourceProto(c capability) *pb.ResourceProto {
	out := &pb.ResourceProto{
		Memory:       proto.Int64(c.memoryMB),
		VirtualCores: proto.Int32(c.vcores),
		ResourceValueMap: []*pb.ResourceInformationProto{
			{Key: proto.String(resourceMemory), Value: proto.Int64(c.memoryMB), Units: proto.String("Mi")},
			{Key: proto.String(resourceVCores), Value: proto.Int64(int64(c.vcores)), Units: proto.String("")},
		},
	}
	if c.gpuName == "" && len(f.settings.Resources) > 0 {
		c.gpuName = f.settings.Resources[0].Name
	}
	if c.gpus > 0 {
		out.ResourceValueMap = append(out.ResourceValueMap,
			&pb.ResourceInformationProto{Key: proto.String(c.gpuName), Value: proto.Int64(c.gpus), Units: proto.String("")})
	}
	return out
}

// mbPerGB converts between the units of memory in YARN's API (MB) and in native jobs (GB).
const mbPerGB = 1024

// capabilityOf converts a size from native units. Fractions of MB, cores and GPUs are cut off.
func capabilityOf(cpus, gpus, memoryGB float64) capability {
	return capability{memoryMB: int64(memoryGB * mbPerGB), vcores: int32(cpus), gpus: int64(gpus)}
}

// maximumCapability returns the maximum of each resource over all machine types. No single machine
// type may have all these maximums.
func (f *Frontend) maximumCapability() *pb.ResourceProto {
	var memoryGB, cpus, gpus float64
	for _, t := range f.controller.MachineTypes() {
		memoryGB, cpus, gpus = max(memoryGB, t.MemoryGB), max(cpus, t.CPUs), max(gpus, t.GPUs)
	}
	return f.resourceProto(capabilityOf(cpus, gpus, memoryGB))
}
