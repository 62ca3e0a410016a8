// Package wait waits for a duration or a group, bounded by a context.
package wait

import (
	"context"
	"sync"
	"time"
)

// For returns nil after d, or ctx's error if ctx ends first. It does not wait if d is 0 or less.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Group returns nil once group is done, or ctx's error if ctx ends first.
func Group(ctx context.Context, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
