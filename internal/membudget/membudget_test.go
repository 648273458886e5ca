package membudget

import (
	"context"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

// The reservations together never exceed the budget, whatever grows, is reset and is freed, and at the end nothing is
// held.
func TestReservationsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const size = 100
		budget := New(size, nil)
		reservations := make([]*Reservation, 4)
		for i := range reservations {
			reservations[i] = budget.NewReservation()
		}
		held := func() (sum int64) {
			for _, reservation := range reservations {
				sum += reservation.reserved
			}
			return sum
		}
		for range rapid.IntRange(1, 50).Draw(r, "steps") {
			reservation := reservations[rapid.IntRange(0, len(reservations)-1).Draw(r, "reservation")]
			switch rapid.IntRange(0, 4).Draw(r, "step") {
			case 0:
				reservation.Reset()
			case 1:
				reservation.Free()
			default:
				want := rapid.Int64Range(0, size+10).Draw(r, "bytes")
				before, closed := reservation.reserved, reservation.closed
				free := size - held()
				grown := reservation.TryGrow(want)
				if fits := !closed && want-before <= free; grown != fits {
					r.Fatalf("growing from %d to %d of %d free bytes: %v, want %v", before, want, free, grown, fits)
				}
			}
			if sum := held(); sum > size {
				r.Fatalf("%d bytes are reserved, limit %d", sum, size)
			}
		}
		for _, reservation := range reservations {
			reservation.Free()
		}
		if !budget.TryReserve(size) {
			r.Fatal("some bytes were not returned")
		}
	})
}

// A reservation that waits reports the shortage until memory is released, and gets it then.
func TestShortageIsReportedUntilMemoryIsReleased(t *testing.T) {
	var budget *Budget
	var mu sync.Mutex
	reports := 0
	budget = New(10, func() {
		mu.Lock()
		defer mu.Unlock()
		if reports++; reports == 3 {
			budget.Release(10)
		}
	})
	if !budget.TryReserve(10) {
		t.Fatal("an empty budget has no memory")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if !budget.Reserve(ctx, 1) {
		t.Error("the reservation was not granted after memory had been released")
	}
}

func TestReservationEndsWithItsContextOrWhenItIsTooLarge(t *testing.T) {
	budget := New(10, nil)
	if budget.Reserve(context.Background(), 11) {
		t.Error("more was reserved than the budget has")
	}
	if !budget.TryReserve(10) {
		t.Fatal("an empty budget has no memory")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reservation := budget.NewReservation()
	if reservation.Grow(ctx, 1) {
		t.Error("a reservation grew beyond the budget")
	}
	reservation.Free()
	budget.Release(10)
	if reservation.TryGrow(1) {
		t.Error("a freed reservation grew")
	}
}
