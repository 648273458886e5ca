package http3front

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pinedale/internal/standin/udprelay"
	"pinedale/internal/standin/wait"
)

// A client whose address changes during a request gets its response on the same connection, and the request
// runs once.
func TestClientMigrationKeepsRequestAndConnection(t *testing.T) {
	h := start(t, 300*time.Millisecond, nil)
	c := h.newClient()
	if code, text := h.roundTrip(c, h.newRequest("GET", "read", "")); code != 200 {
		t.Fatal(code, text)
	}
	before := h.fleet.Counts().Executed
	response := make(chan string)
	go func() {
		code, text := h.roundTrip(c, h.newRequest("POST", "pay", "body"))
		response <- fmt.Sprint(code, text)
	}()
	wait.Until(t, "the request at its server", func() bool { return h.fleet.Counts().Executed == before+1 })
	if err := h.relay.Rebind(); err != nil {
		t.Fatal(err)
	}
	if got := <-response; got != "200done" {
		t.Errorf("response %s, want 200done", got)
	}
	if code, text := h.roundTrip(c, h.newRequest("GET", "read", "")); code != 200 {
		t.Errorf("request after the migration: status %d %s, want 200", code, text)
	}
	connections, addresses := h.server.Connections(), h.relay.ClientAddressCount()
	executed, duplicates := h.fleet.Counts().Executed-before, h.fleet.DuplicateEffects()
	if connections != 1 || executed != 2 || addresses != 2 || len(duplicates) > 0 {
		t.Errorf("%d connections, %d requests ran, %d addresses, duplicate effects %v, want 1, 2, 2 and none",
			connections, executed, addresses, duplicates)
	}
}

// On a path that loses, duplicates and reorders datagrams every request is served, and runs once.
func TestLossyPathServesEachRequestOnce(t *testing.T) {
	for _, loss := range []float64{0.05, 0.2} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			h := start(t, 0, nil)
			h.relay.SetScript(udprelay.Script{Loss: loss, Duplicate: 0.1, Reorder: 0.1, Seed: 1})
			c := h.newClient()
			var all sync.WaitGroup
			for range 30 {
				all.Go(func() {
					key := h.newRequest("POST", "pay", "").Header.Get("Idempotency-Key")
					code, text := 503, ""
					// Slow start: endpoints without earlier traffic accept few requests at first.
					for retries := 0; code == 503 && retries < 50; retries++ {
						r := h.newRequest("POST", "pay", "body")
						r.Header.Set("X-Time-Left-Ms", "30000")
						r.Header.Set("Idempotency-Key", key)
						if code, text = h.roundTrip(c, r); code == 503 {
							time.Sleep(20 * time.Millisecond)
						}
					}
					if code != 200 {
						t.Errorf("status %d %s, want 200", code, text)
					}
				})
			}
			all.Wait()
			counts, duplicates := h.fleet.Counts(), h.fleet.DuplicateEffects()
			if counts.Executed != 30 || len(duplicates) > 0 {
				t.Errorf("server counts %+v, duplicate effects %v, want 30 executed and none", counts, duplicates)
			}
		})
	}
}
