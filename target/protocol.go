// Package target defines the control protocol and the request headers that targets
// support, and a client for the control protocol.
//
// No component of the system runs on target VMs, so the assigner sends requests and the
// target only replies. A lease starts at the target's own clock reading in an earlier
// reply, never at the receipt of a grant, so a delayed grant cannot extend the lease.
package target

import (
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// Paths of the control protocol. Bodies are JSON.
const (
	RenewPath  = "/control/renew"
	HealthPath = "/control/health"
	DrainPath  = "/control/drain"
)

// Headers of the request protocol between entries and targets.
const (
	HeaderGroup          = "Basiltally-Group"
	HeaderSlot           = "Basiltally-Slot"
	HeaderToken          = "Basiltally-Token"
	HeaderRequestID      = "Basiltally-Request-Id"
	HeaderDeadline       = "Basiltally-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderResult is set by a target on the refusal of a request that it has not run.
	HeaderResult = "Basiltally-Result"
)

// Values of HeaderResult. Each states why the target refused the request, and asserts
// that the request was not run.
const (
	RefusedNotOwner = "not-owner"
	RefusedShed     = "shed"
	RefusedDraining = "draining"
	RefusedDeadline = "deadline"
)

// ClockReading is a reading of a target's monotonic clock. Readings of different
// incarnations cannot be compared.
type ClockReading struct {
	// Incarnation identifies one start of the target process.
	Incarnation uint64 `json:"incarnation"`
	// Nanos is the monotonic clock in nanoseconds since that start.
	Nanos int64 `json:"nanos"`
}

// SlotGrant grants one slot with its fencing token.
type SlotGrant struct {
	Slot  ownership.Slot  `json:"slot"`
	Token ownership.Token `json:"token"`
}

// RenewRequest renews a target's lease for a group and changes its granted slots.
type RenewRequest struct {
	Group ownership.GroupID `json:"group"`
	// AssignerToken is the assigner's highest token. A target that has seen a higher one
	// for the group refuses the request.
	AssignerToken ownership.Token `json:"holder"`
	// Echo is the target's earlier clock reading at which the lease starts. A request
	// with a zero Echo only asks for a reading and grants nothing.
	Echo ClockReading `json:"echo"`
	// Lease is the duration of the lease, counted from Echo.
	Lease time.Duration `json:"lease_nanos"`
	// BaseVersion is the grant version to which Grants and Revokes are applied; a target
	// that holds another version changes nothing and sets NeedFull in its reply.
	BaseVersion ownership.Token `json:"base_version"`
	// Version is the grant version after the change.
	Version ownership.Token `json:"version"`
	// Full makes Grants replace all granted slots of the group; BaseVersion is then
	// ignored.
	Full    bool             `json:"full,omitempty"`
	Grants  []SlotGrant      `json:"grants,omitempty"`
	Revokes []ownership.Slot `json:"revokes,omitempty"`
}

// RenewReply is a target's reply to a RenewRequest.
type RenewReply struct {
	// Clock is the reading of the target's clock when it replied.
	Clock ClockReading `json:"clock"`
	// Refused is set if AssignerToken was lower than HighestToken; nothing was changed.
	Refused bool `json:"refused,omitempty"`
	// HighestToken is the highest AssignerToken that the target has received for the
	// group.
	HighestToken ownership.Token `json:"highest"`
	// HeldVersion is the grant version in force at the target after this request. The
	// target no longer serves a slot that is revoked by that version.
	HeldVersion ownership.Token `json:"held"`
	// NeedFull asks the assigner to send all grants of the group, with Full set.
	NeedFull bool `json:"need_full,omitempty"`
	// LeaseNanos is the remaining time of the lease at Clock in nanoseconds; zero if
	// there is no lease.
	LeaseNanos int64  `json:"lease_nanos"`
	Health     Health `json:"health"`
}

// Health is the state that a target reports of itself. It may be out of date or wrong.
type Health struct {
	// Draining is set while the target accepts no new requests.
	Draining bool `json:"draining,omitempty"`
	// Warming is set during a cold start.
	Warming bool `json:"warming,omitempty"`
	// Running is the number of requests that the target is running.
	Running int `json:"running"`
	// Queued is the number of requests that wait at the target.
	Queued int `json:"queued"`
	// Crashes is the number of requests that crashed the target since its VM started.
	Crashes int `json:"crashes,omitempty"`
}
