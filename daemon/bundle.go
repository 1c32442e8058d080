package daemon

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/bundle"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store"
)

// peerBundleTimeout is the longest wait for the bundle of one peer after a freeze.
const peerBundleTimeout = time.Second

// newBundleHolder returns the holder of the bundle in force. It applies the local document
// first if the settings name one.
func newBundleHolder(s *BundleSource, o bundle.HolderOptions) (*bundle.Holder, error) {
	if s.ApproversDir != "" {
		policy, err := bundle.LoadPolicy(s.ApproversDir, s.Approvers, s.Approvals)
		if err != nil {
			return nil, err
		}
		o.Policy = policy
	}
	h := bundle.NewHolder(o)
	if s.File == "" {
		return h, nil
	}
	document, err := os.ReadFile(s.File)
	if err != nil {
		return nil, errors.Wrap(err, "read bundle document")
	}
	return h, h.ApplyUnsigned(s.File, document)
}

func bundleHolderOptions(r prometheus.Registerer, logger *slog.Logger) bundle.HolderOptions {
	return bundle.HolderOptions{Registerer: r, Log: logger}
}

// fetchPeerBundle returns the encoded bundle that a peer relays, or nil if it has none.
func fetchPeerBundle(ctx context.Context, c *peer.Client, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerBundleTimeout)
	defer cancel()
	m, err := c.Call(ctx, address, &pb.Envelope{Body: &pb.Envelope_Subscribe{Subscribe: &pb.Subscribe{}}})
	if err != nil {
		return nil, err
	}
	return m.GetBundle().GetDocument(), nil
}

// fetchStoredBundle returns the encoded bundle that the store names as accepted, or nil if
// there is none.
func fetchStoredBundle(ctx context.Context, s store.Store) ([]byte, error) {
	current, err := bundle.ReadCurrent(ctx, s)
	if err != nil || current.Version == 0 {
		return nil, err
	}
	signed, _, err := bundle.ReadVersion(ctx, s, current.Version)
	if err != nil {
		return nil, err
	}
	return signed.Encode(), nil
}

// watchBundles calls f with each bundle that comes into force, until the context ends.
func watchBundles(ctx context.Context, h *bundle.Holder, f func(*bundle.InForce)) error {
	var seen uint64
	for {
		changed := h.Changed()
		if inForce := h.InForce(); inForce != nil && inForce.Bundle.Version > seen {
			seen = inForce.Bundle.Version
			f(inForce)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// acceptFromPeer returns a function that applies a bundle received from a peer, or returns
// the reason for which the bundle is refused.
func acceptFromPeer(h *bundle.Holder) func(*pb.Bundle) error {
	return func(b *pb.Bundle) error { return h.ApplyReceived(b.Document, "peer") }
}

// bundleForNewRequest returns a function that returns the bundle for a new request, or nil
// if none may be used.
func bundleForNewRequest(h *bundle.Holder) func() *config.Bundle {
	return func() *config.Bundle {
		inForce, err := h.ForNewRequest()
		if err != nil {
			return nil
		}
		return inForce.Bundle
	}
}
