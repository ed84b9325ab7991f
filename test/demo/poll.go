package main

import (
	"context"
	"time"
)

// eventually polls condition until it is true or ctx ends, and reports whether it
// became true.
func eventually(ctx context.Context, interval time.Duration, condition func() bool) bool {
	for {
		if condition() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(interval):
		}
	}
}
