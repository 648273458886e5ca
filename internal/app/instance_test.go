package app

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pinedale/internal/config"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/testfleet"
)

// Parts of an operator's file.
const (
	fileHead = `version = 1
name = "a"
site = "a"
[http]
listen = "127.0.0.1:0"
[ext_proc]
listen = "127.0.0.1:0"
[fleet]
sites = ["a"]
kinds = ["k0", "k1"]
`
	priceClass = `[[class]]
name = "price-check"
repeat = "safe"
aim = "600ms"
deadline = "3s"
`
	payClass = `[[class]]
name = "stall-pay"
repeat = "keyed"
group = "all"
window = "1.5s"
aim = "600ms"
deadline = "2.5s"
`
	http3Format = `[http3]
listen = "127.0.0.1:0"
keys = "front"
[[keys]]
name = "front"
cert_file = %q
key_file = %q
`
)

// serverSection returns the [[server]] entry of a backend, whose kind is that of its cell.
func serverSection(server *fakebackend.Server, kind int) string {
	return fmt.Sprintf(`[[server]]
name = %q
address = %q
site = "a"
kind = "k%d"
pod = %d
`, server.Name, server.Address, kind, server.Cell)
}

// startInstance starts an instance from the text of a file. When the test ends the instance is shut down, and must
// stop without an error.
func startInstance(t *testing.T, text string, log *slog.Logger) *Instance {
	t.Helper()
	file, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	instance, err := Start(file, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		instance.Shutdown()
		if err := instance.Wait(); err != nil {
			t.Error(err)
		}
	})
	return instance
}

// priceHeaders are the headers of a price check.
var priceHeaders = []string{"X-Service-Class: price-check", "X-Time-Left-Ms: 3000"}

// newRequest returns a request with an id of its own. Each header is "Name: value".
func newRequest(method, url string, headers ...string) *http.Request {
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		panic(err) // the test is wrong; t.Fatal is not permitted on other goroutines
	}
	request.Header.Set("X-Correlation-Id", testfleet.NewRequestID())
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		if name == "Host" {
			request.Host = value
		} else {
			request.Header.Set(name, value)
		}
	}
	return request
}

// roundTrip sends a request and reads its response to the end.
func roundTrip(
	send func(*http.Request) (*http.Response, error), request *http.Request,
) (statusCode int, header http.Header, err error) {
	response, err := send(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, nil, err
	}
	return response.StatusCode, response.Header, nil
}

// testInstance is an instance with two backends, one of each kind.
type testInstance struct {
	*Instance
	t        *testing.T
	backends [2]*fakebackend.Server
}

// startTestInstance starts an instance with these sections of a file and two backends, and waits until it is ready.
func startTestInstance(t *testing.T, serviceTime time.Duration, sections ...string) *testInstance {
	t.Helper()
	r := &testInstance{t: t}
	fleet := &fakebackend.Fleet{ServiceTime: serviceTime}
	for n := range r.backends {
		r.backends[n] = fleet.MustStart(t, fmt.Sprint("s-", n), n)
	}
	r.Instance = startInstance(t, r.text(sections...), slog.New(slog.DiscardHandler))
	if err := r.WaitReady(); err != nil {
		t.Fatal(err)
	}
	return r
}

// text returns an operator's file with these sections and the backends.
func (r *testInstance) text(sections ...string) string {
	text := fileHead + strings.Join(sections, "")
	for n, backend := range r.backends {
		text += serverSection(backend, n)
	}
	return text
}

// reload replaces the file by one with these sections.
func (r *testInstance) reload(sections ...string) {
	r.t.Helper()
	path := filepath.Join(r.t.TempDir(), "site.toml")
	testfleet.WriteFile(r.t, path, r.text(sections...))
	file, err := r.LoadNext(path)
	if err == nil {
		err = r.Reload(file)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

// do sends a request to the HTTP/1.1 front. It returns the status code 0 if there is no complete response. It may be
// called on any goroutine.
func (r *testInstance) do(request *http.Request) (int, http.Header) {
	statusCode, header, err := roundTrip(http.DefaultClient.Do, request)
	if err != nil {
		r.t.Errorf("%s %s: %v", request.Method, request.URL, err)
	}
	return statusCode, header
}

// newRequest returns a request to the HTTP/1.1 front.
func (r *testInstance) newRequest(method, path string, headers ...string) *http.Request {
	return newRequest(method, "http://"+r.HTTP.String()+path, headers...)
}

// newPriceCheck returns a price check.
func (r *testInstance) newPriceCheck() *http.Request {
	return r.newRequest(http.MethodGet, "/price-check/x", priceHeaders...)
}

// newPayment returns a payment with an idempotency key of its own.
func (r *testInstance) newPayment() *http.Request {
	return r.newRequest(http.MethodPost, "/stall-pay/x",
		"X-Service-Class: stall-pay", "X-Time-Left-Ms: 2500", "Idempotency-Key: "+testfleet.NewRequestID())
}
