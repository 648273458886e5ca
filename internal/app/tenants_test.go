package app

import (
	"net/http"
	"testing"
	"time"
)

// maxRejectionTime is how long it may take to reject a request at once.
const maxRejectionTime = 200 * time.Millisecond

// Each tenant has its own limit, and a request over it is rejected at once with Retry-After.
func TestTenantAboveItsLimitIsRejectedAtOnce(t *testing.T) {
	r := startTestInstance(t, 300*time.Millisecond, priceClass, payClass, `[[tenant]]
name = "duka"
weight = 1
open = 1
[[tenant]]
name = "soko"
weight = 1
`)
	newRequest := func(tenant string) *http.Request {
		request := r.newPriceCheck()
		request.Header.Set("X-Account", tenant)
		return request
	}
	inFlight := r.startRequest(newRequest("duka"))
	start := time.Now()
	statusCode, header := r.do(newRequest("duka"))
	took := time.Since(start)
	if statusCode != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || took > maxRejectionTime {
		t.Errorf("second request of a tenant with a limit of 1: status %d after %v, header %v; "+
			"want 503 with Retry-After within %v", statusCode, took, header, maxRejectionTime)
	}
	if statusCode, _ := r.do(newRequest("soko")); statusCode != http.StatusOK {
		t.Errorf("a request of another tenant: status %d, want 200", statusCode)
	}
	if statusCode, _ := r.do(newRequest("nobody")); statusCode != http.StatusBadRequest {
		t.Errorf("a request of an unknown tenant: status %d, want 400", statusCode)
	}
	if statusCode := <-inFlight; statusCode != http.StatusOK {
		t.Errorf("the first request: status %d, want 200", statusCode)
	}
	if statusCode, _ := r.do(newRequest("duka")); statusCode != http.StatusOK {
		t.Errorf("a request after the first one has ended: status %d, want 200", statusCode)
	}
}
