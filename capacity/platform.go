package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/membership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/relay"
	"github.com/basiltally/basiltally/standin/vmlist"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/objectapi"
)

// Names of the sweeps of data that is kept in the platform's object API.
const (
	SweepClaims  = "claims"
	SweepClasses = "bundle-classes"
	SweepVMList  = "vm-list"
)

// Names of the series of data that is kept in the platform's object API.
const (
	BatchBytes    = "batch of claims and finishes"
	BatchCPU      = "encode and decode a batch"
	DocumentBytes = "bundle document"
	ParseCPU      = "parse and check"
	BundleHeap    = "bundle heap"
	ListBytes     = "VM list"
	ListCPU       = "decode and sort the VM list"
	ListHeap      = "VM list heap"
	PlaceCPU      = "place in the relay tree"
)

// answerBytes is the size of the recorded answer to a finished request.
const answerBytes = 200

func measureClaims(s *Sweep, claims int, budget time.Duration) error {
	batch := makeBatch(claims)
	data, err := proto.Marshal(batch)
	if err != nil {
		return err
	}
	x := float64(claims)
	s.addSample(BatchBytes, "B", x, float64(len(data)))
	s.addSample(BatchCPU, "ns", x, cpuPerCall(budget, func() {
		encoded, _ := proto.Marshal(batch)
		err = proto.Unmarshal(encoded, new(pb.ClaimBatch))
	}))
	return err
}

// makeBatch returns a batch with a claim and a finish operation for each of a
// number of requests.
func makeBatch(claims int) *pb.ClaimBatch {
	batch := &pb.ClaimBatch{Seq: 1 << 30, Nonce: make([]byte, 16), TimeMs: 1 << 41, HorizonMs: 1 << 41, Archived: 1 << 29}
	for i := range claims {
		id, attempt := fmt.Appendf(nil, "%016d", i), fmt.Appendf(nil, "%016x", i)
		answer := &pb.ClaimAnswer{
			Status: 200, ContentType: "application/json", Body: make([]byte, answerBytes),
			BodyLength: answerBytes, Digest: make([]byte, 16),
		}
		batch.Ops = append(batch.Ops,
			&pb.ClaimOp{Kind: pb.ClaimOpKind_CLAIM_OP_KIND_CLAIM, Id: id, Attempt: attempt, Fingerprint: id, RunMs: 10_000},
			&pb.ClaimOp{Kind: pb.ClaimOpKind_CLAIM_OP_KIND_FINISH, Id: id, Attempt: attempt, Answer: answer},
		)
	}
	return batch
}

func measureClasses(s *Sweep, classes int, budget time.Duration) error {
	document := makeDocument(classes)
	if _, err := config.Parse("bundle", document); err != nil {
		return err
	}
	x := float64(classes)
	s.addSample(DocumentBytes, "B", x, float64(len(document)))
	s.addSample(ParseCPU, "ns", x, cpuPerCall(budget, func() { _, _ = config.Parse("bundle", document) }))
	s.addSample(BundleHeap, "B", x, heapOf(func() any {
		b, _ := config.Parse("bundle", document)
		return b
	}))
	return nil
}

// classesPerTenant is the number of classes per tenant of a generated document.
const classesPerTenant = 4

func makeDocument(classes int) []byte {
	var b bytes.Buffer
	b.WriteString("[bundle]\nversion = 1\n\n")
	b.WriteString("[pool \"sheets\"]\nkeyed = true\ngroups = group-0001\ntarget_slots = 6\ntarget_connections = 110\nchecks_tokens = true\n\n")
	for i := range classes {
		tenant := fmt.Sprintf("tenant-%05d", i/classesPerTenant)
		if i%classesPerTenant == 0 {
			fmt.Fprintf(&b, "[tenant \"%s\"]\n\n", tenant)
		}
		fmt.Fprintf(&b, "[class \"%s/class-%d\"]\n", tenant, i%classesPerTenant)
		fmt.Fprintf(&b, "kind = keyed-read\npath_prefix = /class-%d/\npool = sheets\ndeadline = 500ms\nqueue_length = 200\nrate = 4000\nburst = 400\n\n", i%classesPerTenant)
	}
	return b.Bytes()
}

func measureVMList(s *Sweep, entries int, budget time.Duration) error {
	vms := makeVMs(entries)
	data, err := json.Marshal(objectapi.VMsBody{VMs: vms})
	if err != nil {
		return err
	}
	lister := vmlist.New(vms)
	x := float64(entries)
	s.addSample(ListBytes, "B", x, float64(len(data)))
	s.addSample(ListCPU, "ns", x, cpuPerCall(budget, func() {
		err = json.Unmarshal(data, new(objectapi.VMsBody))
		membership.New(membership.Options{Lister: lister}).Refresh(context.Background())
	}))
	s.addSample(ListHeap, "B", x, heapOf(func() any {
		var body objectapi.VMsBody
		_ = json.Unmarshal(data, &body)
		list := membership.New(membership.Options{Lister: vmlist.New(body.VMs)})
		list.Refresh(context.Background())
		return list.Snapshot()
	}))
	members := relayMembers(vms)
	s.addSample(PlaceCPU, "ns", x, cpuPerCall(budget, func() { relay.FindPosition(members[0].ID, members) }))
	return err
}

func makeVMs(n int) []store.VM {
	vms := make([]store.VM, n)
	for i := range vms {
		vms[i] = store.VM{
			ID: fmt.Sprintf("vm-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:9200", i>>16, i>>8&255, i&255),
			Region: fmt.Sprintf("region-%d", i%5), DataCentre: fmt.Sprintf("dc-%02d", i%15), Kind: membership.KindEntry,
		}
	}
	return vms
}

func relayMembers(vms []store.VM) []relay.Member {
	members := make([]relay.Member, len(vms))
	for i, vm := range vms {
		members[i] = relay.Member{ID: vm.ID, Address: vm.Address, DataCentre: vm.DataCentre}
	}
	return members
}
