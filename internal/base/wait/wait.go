// Package wait pauses until a time has passed or a context ends.
package wait

import (
	"context"
	"sync"
	"time"
)

// For returns nil after d, or ctx's error if that ends first. A d of 0 or less does not wait.
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

// Group returns nil once a group is done, or ctx's error if that ends first.
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
