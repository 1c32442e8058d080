package claim

import (
	"context"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
)

// Peers calls the claim services of other VMs, which handle the calls with Service.Serve.
type Peers interface {
	// Call sends the call to the VM and waits for its reply. After an error it is
	// unknown whether the call reached the VM or took effect.
	Call(ctx context.Context, vm ownership.VMID, call *pb.ClaimCall) (*pb.ClaimReply, error)
}

// Membership lists the live VMs of the system. The list may be out of date and may
// differ between VMs: it only decides which VM batches the operations of a partition,
// not which attempt may run a request.
type Membership interface {
	LiveVMs() []ownership.VMID
}
