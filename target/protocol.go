// Package target defines the control protocol and the request headers that
// targets understand, and a client for the control protocol.
//
// Nothing of the system runs on target VMs, so the assigner asks and the target
// answers. A lease counts from the target's own clock reading in an earlier
// answer, never from the receipt of a grant: delaying a grant cannot extend it.
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
	// HeaderResult is set by a target that refused a request before running it.
	HeaderResult = "Basiltally-Result"
)

// Values of HeaderResult: refusals that assert that the request was not run.
const (
	RefusedNotOwner = "not-owner"
	RefusedShed     = "shed"
	RefusedDraining = "draining"
	RefusedDeadline = "deadline"
)

// Clock is a reading of a target's monotonic clock. Readings of different
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
	// Holder is the assigner's highest token. A target that has seen a higher one refuses.
	AssignerToken ownership.Token `json:"holder"`
	// Echo is the clock reading from which the lease counts; a zero Echo only asks
	// for a reading and grants nothing.
	Echo ClockReading `json:"echo"`
	// Lease is the duration of the lease from Echo.
	Lease time.Duration `json:"lease_nanos"`
	// BaseVersion is the grant version that Grants and Revokes change; a target
	// that holds another version changes nothing and answers NeedFull.
	BaseVersion ownership.Token `json:"base_version"`
	// Version is the grant version after the change.
	Version ownership.Token `json:"version"`
	// Full replaces all granted slots of the group by Grants; BaseVersion is ignored.
	Full    bool             `json:"full,omitempty"`
	Grants  []SlotGrant      `json:"grants,omitempty"`
	Revokes []ownership.Slot `json:"revokes,omitempty"`
}

// RenewReply is a target's answer to a RenewRequest.
type RenewReply struct {
	// Clock is the target's clock when it answered.
	Clock ClockReading `json:"clock"`
	// Refused is set if Holder was lower than Highest; nothing was changed.
	Refused bool `json:"refused,omitempty"`
	// Highest is the highest Holder that the target has seen for the group.
	HighestToken ownership.Token `json:"highest"`
	// Held is the grant version in force at the target after this request. A slot
	// revoked by that version is served no longer.
	HeldVersion ownership.Token `json:"held"`
	// NeedFull asks for a full list of grants.
	NeedFull bool `json:"need_full,omitempty"`
	// LeaseNanos is the remaining time of the lease at Clock; zero if there is none.
	LeaseNanos int64  `json:"lease_nanos"`
	Health     Health `json:"health"`
}

// Health is what a target says of itself. It may lag or be wrong.
type Health struct {
	Draining bool `json:"draining,omitempty"`
	// Warming is set during a cold start.
	Warming bool `json:"warming,omitempty"`
	// Running and Queued count requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Crashes counts requests that crashed the target since its VM started.
	Crashes int `json:"crashes,omitempty"`
}
