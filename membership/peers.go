package membership

import (
	"context"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store"
)

// ToProto converts a snapshot to the message that is sent to peers.
func ToProto(s *Snapshot) *pb.VMListReply {
	reply := new(pb.VMListReply)
	for _, list := range [][]store.VM{s.VMs, s.Targets} {
		for _, vm := range list {
			reply.Vms = append(reply.Vms, &pb.VM{
				Id: vm.ID, Address: vm.Address, Region: vm.Region, DataCentre: vm.DataCentre,
				Kind: vm.Kind, Leaving: vm.Leaving, Pool: vm.Pool,
			})
		}
	}
	return reply
}

func fromProto(m *pb.VMListReply) []store.VM {
	out := make([]store.VM, len(m.Vms))
	for i, vm := range m.Vms {
		out[i] = store.VM{
			ID: vm.Id, Address: vm.Address, Region: vm.Region, DataCentre: vm.DataCentre,
			Kind: vm.Kind, Leaving: vm.Leaving, Pool: vm.Pool,
		}
	}
	return out
}

// SeededLister reads the platform's VM list. Until that has succeeded once, it
// requests the list from peers after a failed read, so that a VM that starts while
// the platform is down finds the other VMs.
type SeededLister struct {
	// Platform reads the platform's list.
	Platform store.VMLister
	// Client calls the peers.
	Client *peer.Client
	// Seeds are the addresses of the peers to ask, tried in this order.
	Seeds []string
	// platformAnswered is set once a read of the platform's list has succeeded.
	platformAnswered bool
}

// ListVMs implements store.VMLister. It is not safe for concurrent use.
func (l *SeededLister) ListVMs(ctx context.Context) ([]store.VM, error) {
	platformContext, cancel := context.WithTimeout(ctx, readTimeout/2)
	defer cancel()
	vms, err := l.Platform.ListVMs(platformContext)
	if err == nil {
		l.platformAnswered = true
		return vms, nil
	}
	if l.platformAnswered {
		return nil, err
	}
	for _, seed := range l.Seeds {
		m, callErr := l.Client.Call(ctx, seed, &pb.Envelope{Body: &pb.Envelope_VmListRequest{VmListRequest: &pb.VMListRequest{}}})
		if callErr == nil && len(m.GetVmListReply().GetVms()) > 0 {
			return fromProto(m.GetVmListReply()), nil
		}
	}
	return nil, errors.Wrap(err, "failed to read the VM list from the platform and from all seeds")
}
