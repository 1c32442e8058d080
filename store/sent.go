package store

import "context"

type onSentKey struct{}

// WithOnSent returns a context for a poll. A client of the store that can tell calls onSent, from any goroutine, once the poll's
// request has been handed to the network.
func WithOnSent(ctx context.Context, onSent func()) context.Context {
	return context.WithValue(ctx, onSentKey{}, onSent)
}

// OnSent returns the function that was given to WithOnSent, or nil.
func OnSent(ctx context.Context) func() {
	onSent, _ := ctx.Value(onSentKey{}).(func())
	return onSent
}
