package daemon

import (
	"context"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/membership"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
)

// claimPeers calls the claim services of the assign processes.
type claimPeers struct {
	client  *peer.Client
	members *membership.List
}

// Call implements claim.Peers.
func (c *claimPeers) Call(ctx context.Context, vm ownership.VMID, call *pb.ClaimCall) (*pb.ClaimReply, error) {
	member, ok := c.members.Snapshot().VM(vm)
	if !ok {
		return nil, errors.Errorf("VM %s is not in the VM list", vm)
	}
	m, err := c.client.Call(ctx, member.Address, &pb.Envelope{Body: &pb.Envelope_ClaimCall{ClaimCall: call}})
	if err != nil {
		return nil, err
	}
	if m.GetClaimReply() == nil {
		return nil, errors.Errorf("VM %s answered a claim call with another message", vm)
	}
	return m.GetClaimReply(), nil
}

// LiveVMs implements claim.Membership.
func (c *claimPeers) LiveVMs() []ownership.VMID {
	var out []ownership.VMID
	for _, vm := range c.members.Snapshot().VMs {
		if !vm.Leaving {
			out = append(out, ownership.VMID(vm.ID))
		}
	}
	return out
}
