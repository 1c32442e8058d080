package claim

import (
	"context"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
)

// Peers calls the claim service of other VMs, which answers with Service.Serve.
type Peers interface {
	// Call sends the call to the VM and waits for its reply. An error tells
	// nothing about whether the call reached the VM or took effect.
	Call(ctx context.Context, vm ownership.VMID, call *pb.ClaimCall) (*pb.ClaimReply, error)
}

// Membership tells which VMs of the system are live. The list may lag and may
// differ between VMs: it decides who batches a partition, not who may run.
type Membership interface {
	LiveVMs() []ownership.VMID
}
