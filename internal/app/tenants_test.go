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
		t.Errorf("second request of a tenant with a limit of 1: status %d after %v, %v", statusCode, took, header)
	}
	if statusCode, _ := r.do(newRequest("soko")); statusCode != http.StatusOK {
		t.Errorf("another tenant: status %d", statusCode)
	}
	if statusCode, _ := r.do(newRequest("nobody")); statusCode != http.StatusBadRequest {
		t.Errorf("an unknown tenant: status %d", statusCode)
	}
	if statusCode := <-inFlight; statusCode != http.StatusOK {
		t.Errorf("the first request: status %d", statusCode)
	}
	if statusCode, _ := r.do(newRequest("duka")); statusCode != http.StatusOK {
		t.Errorf("after the first request: status %d", statusCode)
	}
}
