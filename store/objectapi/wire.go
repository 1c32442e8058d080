// Package objectapi is the client of the platform's object API over HTTP. It
// implements store.Store and store.VMLister.
package objectapi

import "github.com/basiltally/basiltally/store"

// Paths of the object API. Object keys and prefixes are query arguments.
const (
	ObjectPath = "/object"
	ListPath   = "/objects"
	WatchPath  = "/watch"
	VMsPath    = "/vms"
)

// Query arguments of the object API.
const (
	ArgKey      = "key"
	ArgPrefix   = "prefix"
	ArgExpected = "expected"
	ArgAfter    = "after"
	// ArgTimeout bounds a watch, in milliseconds.
	ArgTimeout = "timeout_ms"
)

// HeaderVersion carries the version of an object.
const HeaderVersion = "Object-Version"

// WireObject is an object in the JSON body of a list or a watch.
type WireObject struct {
	Key     string        `json:"key"`
	Value   []byte        `json:"value,omitempty"`
	Version store.Version `json:"version"`
	Deleted bool          `json:"deleted,omitempty"`
}

// ListBody is the JSON body of the answer to a list.
type ListBody struct {
	Revision store.Version `json:"revision"`
	Objects  []WireObject  `json:"objects"`
}

// WatchBody is the JSON body of the answer to a watch. It has no events if the timeout
// passed without a change.
type WatchBody struct {
	Events []WireObject `json:"events"`
}

// VMsBody is the JSON body of the answer to a read of the VM list.
type VMsBody struct {
	VMs []store.VM `json:"vms"`
}
