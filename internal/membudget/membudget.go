// Package membudget bounds the memory that clients can make a process hold.
//
// A Budget is a number of bytes that many users share. Each user reserves what it is about to allocate, and releases it
// once the memory is no longer referenced. Where memory is short, a user waits its turn, and the holders of the memory
// may be asked to give it back.
package membudget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// shortageInterval is the shortest time between two calls of a budget's shortage function.
	shortageInterval = time.Millisecond
	// reportInterval is the time between two reports of a shortage by one waiting reservation.
	reportInterval = 10 * time.Millisecond
)

// Budget is a limited number of bytes. Make one with New. It is safe for concurrent use.
type Budget struct {
	size      int64
	available *semaphore.Weighted
	shortage  func() // asks a holder of memory to give it back; may be nil

	shortageCalledAt atomic.Int64 // Unix time in nanoseconds
}

// New returns a budget of size bytes. While a reservation waits, shortage is called again and again; it should make
// some holder release its memory, and must not block. It may be nil.
func New(size int64, shortage func()) *Budget {
	return &Budget{size: size, available: semaphore.NewWeighted(size), shortage: shortage}
}

// Size returns the size of the budget in bytes.
func (b *Budget) Size() int64 { return b.size }

// TryReserve reserves n bytes, or returns false if they are not available now.
func (b *Budget) TryReserve(n int64) bool { return b.available.TryAcquire(n) }

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) { b.available.Release(n) }

// Reserve reserves n bytes. It waits, in order of the calls, until they are available. It returns false if ctx ends
// first, or if the budget is smaller than n.
func (b *Budget) Reserve(ctx context.Context, n int64) bool {
	if n > b.size {
		return false
	}
	if b.available.TryAcquire(n) {
		return true
	}
	if b.shortage != nil {
		return b.waitReporting(ctx, n)
	}
	return b.available.Acquire(ctx, n) == nil
}

// waitReporting waits for n bytes until ctx ends, and reports the shortage meanwhile.
func (b *Budget) waitReporting(ctx context.Context, n int64) bool {
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	var timer *time.Timer
	var started sync.WaitGroup
	started.Add(1)
	timer = time.AfterFunc(0, func() {
		started.Wait()
		if waiting.Err() == nil {
			b.reportShortage()
			timer.Reset(reportInterval)
		}
	})
	started.Done()
	defer timer.Stop()
	return b.available.Acquire(ctx, n) == nil
}

// reportShortage calls the shortage function, unless that was done within shortageInterval.
func (b *Budget) reportShortage() {
	now := time.Now().UnixNano()
	last := b.shortageCalledAt.Load()
	if now-last >= shortageInterval.Nanoseconds() && b.shortageCalledAt.CompareAndSwap(last, now) {
		b.shortage()
	}
}

// Reservation is the memory that one user holds of a budget. It is safe for concurrent use.
type Reservation struct {
	budget *Budget

	mu       sync.Mutex
	reserved int64
	closed   bool
}

// NewReservation returns a reservation of no bytes.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// Grow waits until the reservation holds size bytes in all. It returns false, and leaves the reservation as it was, if
// ctx ends first, the budget is too small, or the reservation has been freed.
func (r *Reservation) Grow(ctx context.Context, size int64) bool {
	return r.grow(size, func(n int64) bool { return r.budget.Reserve(ctx, n) })
}

// TryGrow is Grow without waiting.
func (r *Reservation) TryGrow(size int64) bool { return r.grow(size, r.budget.TryReserve) }

// grow makes the reservation hold size bytes by a call of reserve.
func (r *Reservation) grow(size int64, reserve func(n int64) bool) bool {
	r.mu.Lock()
	missing, closed := size-r.reserved, r.closed
	r.mu.Unlock()
	if closed || missing > 0 && !reserve(missing) {
		return false
	}
	if missing <= 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed { // freed while it waited
		r.budget.Release(missing)
		return false
	}
	r.reserved += missing
	return true
}

// Reset releases all that the reservation holds. It may grow again.
func (r *Reservation) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Release(r.reserved)
	r.reserved = 0
}

// Free releases all that the reservation holds, for good.
func (r *Reservation) Free() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Reset()
}
