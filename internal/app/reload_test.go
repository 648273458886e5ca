package app

import (
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pinedale/internal/standin/wait"
)

const (
	// minBadFiles is less than the number of files in testdata/bad of package config.
	minBadFiles = 150
	// minRequestsUnderLoad is how many requests must be served while bad files are loaded.
	minRequestsUnderLoad = 200
)

// A bad file has no effect on a running instance: its table stays the same, and no request fails or is rejected.
func TestBadReloadUnderLoadChangesNothing(t *testing.T) {
	badFiles, err := filepath.Glob("../config/testdata/bad/*.toml")
	if err != nil || len(badFiles) < minBadFiles {
		t.Fatalf("found %d bad files, error %v, want at least %d files", len(badFiles), err, minBadFiles)
	}
	r := startTestInstance(t, time.Millisecond, priceClass, payClass)
	before := r.Table()
	var clients sync.WaitGroup
	var ended atomic.Bool
	var served atomic.Int64
	endLoad := func() {
		ended.Store(true)
		clients.Wait()
	}
	defer endLoad()
	for _, newRequest := range []func() *http.Request{
		r.newPriceCheck, r.newPayment, r.newPriceCheck, r.newPayment,
	} {
		clients.Go(func() {
			for !ended.Load() {
				if statusCode, _ := r.do(newRequest()); statusCode != http.StatusOK {
					t.Errorf("a request during reloads: status %d, want 200", statusCode)
					return
				}
				served.Add(1)
			}
		})
	}
	for _, path := range badFiles {
		if file, err := r.LoadNext(path); err == nil || file != nil {
			t.Errorf("%s is accepted", path)
		}
	}
	wait.Until(t, "requests under load", func() bool { return served.Load() > minRequestsUnderLoad || t.Failed() })
	endLoad()
	if r.Table() != before {
		t.Error("the table has changed")
	}
}

// A reload removes the class of a request in flight. The request is completed by the rules that it began with, and
// the next one of that class is rejected. The class gets the same number when it returns unchanged, and another one
// when it is changed.
func TestRequestInFlightKeepsRemovedClass(t *testing.T) {
	r := startTestInstance(t, 300*time.Millisecond, priceClass, payClass)
	inFlight := r.startRequest(r.newPayment())
	classNumber := func() uint8 {
		bounds, _ := r.Table().ClassBounds("stall-pay")
		return bounds.Class
	}
	initialNumber := classNumber()
	r.reload(priceClass)
	if statusCode, _ := r.do(r.newPayment()); statusCode != http.StatusBadRequest {
		t.Errorf("a request of the removed class: status %d, want 400", statusCode)
	}
	if statusCode, _ := r.do(r.newPriceCheck()); statusCode != http.StatusOK {
		t.Errorf("a request of the other class: status %d, want 200", statusCode)
	}
	if statusCode := <-inFlight; statusCode != http.StatusOK {
		t.Errorf("the request in flight: status %d, want 200", statusCode)
	}
	r.reload(priceClass, payClass)
	if statusCode, _ := r.do(r.newPayment()); statusCode != http.StatusOK || classNumber() != initialNumber {
		t.Errorf("after the class is added again: status %d, want 200; class number %d, want %d",
			statusCode, classNumber(), initialNumber)
	}
	r.reload(priceClass, strings.Replace(payClass, "1.5s", "1.6s", 1))
	if statusCode, _ := r.do(r.newPayment()); statusCode != http.StatusOK || classNumber() == initialNumber {
		t.Errorf("after a change of the class: status %d, want 200; class number %d, want one other than %d",
			statusCode, classNumber(), initialNumber)
	}
}

// startRequest sends a request and returns once it is in flight; no other may be. The channel receives the status
// code.
func (r *testInstance) startRequest(request *http.Request) <-chan int {
	r.t.Helper()
	responded := make(chan int, 1)
	go func() {
		statusCode, _ := r.do(request)
		responded <- statusCode
	}()
	wait.Until(r.t, "the request in flight", func() bool { return r.Requests() == 1 })
	return responded
}
