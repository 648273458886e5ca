package httpfront

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"pinedale/internal/front/exchange"
	"pinedale/internal/httpmsg"
	"pinedale/internal/membudget"
	"pinedale/internal/requestmeta"
)

// newTestReader returns a reader of requests in a text, which arrives in pieces, with a budget for their headers.
func newTestReader(text string, budget int64) *requestReader {
	return newRequestReader(iotest.OneByteReader(strings.NewReader(text)), membudget.New(budget, nil).NewReservation())
}

// A header is rejected with its status as soon as its limits are exceeded or it is not valid.
func TestInvalidHeaderIsRejectedWithStatus(t *testing.T) {
	const start = "GET /x HTTP/1.1\r\nHost: a\r\n"
	for name, test := range map[string]struct {
		text string
		code int
	}{
		"many lines":          {start + strings.Repeat("abc:\r\n", httpmsg.MaxHeaderLines), 431},
		"a long line":         {start + "X: " + strings.Repeat("x", httpmsg.MaxHeaderBytes), 431},
		"empty lines only":    {strings.Repeat("\r\n", httpmsg.MaxHeaderBytes), 431},
		"zero bytes":          {strings.Repeat("\x00", httpmsg.MaxHeaderBytes+1), 431},
		"noise":               {"\x16\x03\x01\x02\r\n\r\n", 400},
		"no host":             {"GET /x HTTP/1.1\r\n\r\n", 400},
		"two hosts":           {start + "host: b\r\n\r\n", 400},
		"an invalid host":     {"GET /x HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
		"two lengths":         {start + "Content-Length: 1\r\ncontent-length: 1\r\n\r\n", 400},
		"length and encoding": {start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"a negative length":   {start + "Content-Length: -1\r\n\r\n", 400},
		"an unknown encoding": {start + "Transfer-Encoding: gzip\r\n\r\n", 400},
		"a line without name": {start + ": x\r\n\r\n", 400},
		"a space in a name":   {start + "X : x\r\n\r\n", 400},
		"a bare return":       {start + "X: x\r\n\r\r\n\r\n", 400},
		"another expectation": {start + "Expect: money\r\n\r\n", 417},
		"another protocol":    {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505},
	} {
		_, err := newTestReader(test.text, 1<<20).next()
		var rejection *requestmeta.Error
		if !errors.As(err, &rejection) || rejection.Code != test.code {
			t.Errorf("%s: error %v, want status %d", name, err, test.code)
		}
	}
}

// A header within the limits is accepted, up to the last line and byte.
func TestHeaderAtItsLimitsIsAccepted(t *testing.T) {
	const start = "GET /x HTTP/1.1\r\nHost: a\r\n"
	lines := httpmsg.MaxHeaderLines - 3 // the request line, Host and the empty line
	padding := strings.Repeat("x", httpmsg.MaxHeaderBytes-len(start)-len("X: \r\n\r\n"))
	for name, text := range map[string]string{
		"lines":             start + strings.Repeat("abc:\r\n", lines) + "\r\n",
		"bytes":             start + "X: " + padding + "\r\n\r\n",
		"empty lines ahead": "\r\n\n\r\n" + start + "\r\n",
	} {
		reader := newTestReader(text, 1<<20)
		if _, err := reader.next(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		reader.finish()
	}
}

// A long header needs memory of the budget, and gives it back.
func TestLongHeaderNeedsMemory(t *testing.T) {
	text := "GET /x HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 10_000) + "\r\n\r\n"
	if _, err := newTestReader(text, 8<<10).next(); !errors.Is(err, exchange.ErrBusy) {
		t.Errorf("error %v beyond the budget, want ErrBusy", err)
	}
	budget := membudget.New(16<<10, nil)
	for range 3 {
		memory := budget.NewReservation()
		reader := newRequestReader(strings.NewReader(text), memory)
		if _, err := reader.next(); err != nil {
			t.Fatal(err)
		}
		if budget.TryReserve(8 << 10) {
			t.Fatal("the header's memory is not reserved")
		}
		reader.finish()
		if !budget.TryReserve(16 << 10) {
			t.Fatal("the header's memory was not given back")
		}
		budget.Release(16 << 10)
	}
}

// readAll reads requests with their bodies until one is not valid or the text ends.
func readAll(text string) (requests []string) {
	reader := newTestReader(text, 1<<20)
	for {
		in, err := reader.next()
		if err != nil {
			return requests
		}
		body, err := io.ReadAll(in.Body)
		if err != nil {
			return requests
		}
		requests = append(requests, describe(in, body))
		reader.finish()
	}
}

// describe returns what a handler sees of a request.
func describe(in *http.Request, body []byte) string {
	return fmt.Sprintln(in.Method, in.RequestURI, in.Host, in.Header, in.ContentLength, string(body))
}

// Requests in a row are each read whole, whatever their framing.
func TestRequestsInARowAreReadWhole(t *testing.T) {
	const post = "POST /x HTTP/1.1\r\nHost: a\r\n"
	long := strings.Repeat("b", 3*parseBufferBytes)
	got := readAll(post + "Content-Length: 4\r\n\r\nbody" +
		post + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" +
		post + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long) +
		"GET /y HTTP/1.1\r\nHost: a\r\n\r\n")
	if len(got) != 4 || !strings.Contains(got[2], long) || !strings.Contains(got[3], "/y") {
		t.Errorf("%d requests were read, want 4: %.300q", len(got), got)
	}
}

// Whatever bytes arrive, the reader accepts no request that http.ReadRequest does not see at the same place, so that
// nothing in a body is taken for a request.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n1\r\nx\r\n0\r\nT: t\r\n\r\n" +
			"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"\r\nGET / HTTP/1.1\r\nHost: a\r\nX: \r\n folded\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n\r\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n \r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		rest := bufio.NewReader(bytes.NewReader(text))
		for n, got := range readAll(string(text)) {
			for {
				ahead, err := rest.Peek(1)
				if err != nil || ahead[0] != '\r' && ahead[0] != '\n' {
					break
				}
				_, _ = rest.Discard(1)
			}
			in, err := http.ReadRequest(rest)
			if err != nil {
				t.Fatalf("request %d %q: net/http finds none: %v", n, got, err)
			}
			body, err := io.ReadAll(in.Body)
			if want := describe(in, body); err != nil || got != want {
				t.Fatalf("request %d: got %q, net/http %q, %v", n, got, want, err)
			}
		}
	})
}
