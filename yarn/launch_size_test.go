// Tests of the sizes of launch contexts.

package yarn

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/internal/golden"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// contextOf returns a launch context with one variable.
func contextOf(value string) *pb.ContainerLaunchContextProto {
	return &pb.ContainerLaunchContextProto{Environment: []*pb.StringStringMapProto{{Key: proto.String("V"), Value: &value}}}
}

// Containers that were started together shared a transaction by their number, whatever their launch
// contexts took. With large contexts the store rejected it, and no container of the call was started.
func TestStartsWithLargeContextsAreDividedByTheirSize(t *testing.T) {
	f := &Frontend{limits: StoreLimits{TxnOps: 12, ValueBytes: 16 << 10}}
	for _, c := range []struct{ contextBytes, wantParts int }{{15 << 10, 10}, {7 << 10, 4}, {100, 2}} {
		var starts []containerStart
		for n := range 20 {
			start := containerStart{task: n}
			var err error
			start.contextOp, start.contextSize, err = f.contextOp(fmt.Sprintf("yx/a/%d", n), contextOf(fmt.Sprintf("%02d", n)+strings.Repeat("x", c.contextBytes)))
			if err != nil {
				t.Fatal(err)
			}
			starts = append(starts, start)
		}
		parts := f.splitByTransaction(starts)
		count := 0
		for _, part := range parts {
			ops := []nwire.Op{{Put: "w/j/job", Value: strings.Repeat("r", f.limits.ValueBytes)}}
			for _, start := range part {
				ops = append(ops, start.contextOp)
			}
			if size := golden.JSONSize(t, nwire.Marshal, nwire.Txn{Then: ops}); size > nwire.MaxBody {
				t.Errorf("%d containers with contexts of %d bytes: the transaction has %d bytes, want at most %d", len(part), c.contextBytes, size, nwire.MaxBody)
			}
			count += len(part)
		}
		if count != len(starts) || len(parts) > c.wantParts {
			t.Errorf("contexts of %d bytes: %d starts in %d parts, want %d in at most %d", c.contextBytes, count, len(parts), len(starts), c.wantParts)
		}
	}
}

// The size of a launch context was counted as twice its characters. Escaped ones take up to six bytes, so
// that the store rejected the context instead of the call being refused with the reason.
func TestLaunchContextIsMeasuredAsTheStoreCountsIt(t *testing.T) {
	f := &Frontend{limits: StoreLimits{TxnOps: 12, ValueBytes: 16 << 10}}
	for _, text := range []string{"<", "é", "\n", "x"} {
		for n := 256; n <= 32<<10; n *= 2 {
			op, _, err := f.contextOp("yx/a/1", contextOf(strings.Repeat(text, n)))
			if err != nil {
				continue // refused with the reason
			}
			if size := golden.JSONSize(t, nwire.Marshal, op.Value); size > f.limits.ValueBytes {
				t.Errorf("a context of %d %q was taken, although it has %d bytes", n, text, size)
			}
		}
	}
}
