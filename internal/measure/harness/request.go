package harness

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Request is a client's request to an instance.
type Request struct {
	URL            string // of the front, without a path
	ID             string
	Class          string
	Method         string        // GET if it is empty
	Timeout        time.Duration // stated in the request
	IdempotencyKey string        // none if it is empty
	Tenant         string        // none if it is empty
}

// Response is the response to a request.
type Response struct {
	Code   int
	Status string // code and text
}

// OK reports whether the request was served.
func (r *Response) OK() bool { return r.Code == http.StatusOK }

// Send sends the request and reads the response to its end. Its error does not include the method and URL.
func (r *Request) Send(client *http.Client) (*Response, error) {
	request, err := r.build()
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		if urlError := (*url.Error)(nil); errors.As(err, &urlError) {
			err = urlError.Err
		}
		return nil, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status is needed
	return &Response{Code: response.StatusCode, Status: response.Status}, nil
}

func (r *Request) build() (*http.Request, error) {
	request, err := http.NewRequest(r.Method, r.URL+"/"+r.Class+"/x", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Correlation-Id", r.ID)
	request.Header.Set("X-Service-Class", r.Class)
	request.Header.Set("X-Time-Left-Ms", strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	if r.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.Tenant != "" {
		request.Header.Set("X-Account", r.Tenant)
	}
	return request, nil
}
