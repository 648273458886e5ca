package extproc

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/proxy"
)

// Tally counts the final answers of one class.
type Tally struct{ Served, Rejected, Failed int }

func (t *Tally) add(code int) {
	switch code {
	case 200:
		t.Served++
	case 503, 429:
		t.Rejected++
	default:
		t.Failed++
	}
}

// Fronts plays one seeded load, one call after the other, through the HTTP front
// and through the processor, against fleets that fail in the same way. everywhere
// has a request fare the same at every server. With Options.Once, too, nothing random
// is left: a request that fails at every server it tries would otherwise be all that
// some servers see, and their breakers draw lots on what comes next.
func Fronts(o Options, everywhere bool) (overHTTP, overProcessor map[string]*Tally, err error) {
	faults := fakebackend.Faults{Reject: 0.02, Error: 0.03, Reset: 0.02, SameOnAllServers: everywhere}
	play := func(call func(r *run, q proxy.Request) (int, error)) (map[string]*Tally, error) {
		r := &run{o: o}
		if err := r.begin(faults); err != nil {
			return nil, err
		}
		defer func() {
			r.site.Shutdown()
			_ = r.site.Wait() // the calls have told what came of them
			r.end()
		}()
		tallies := map[string]*Tally{}
		for n := range o.Calls {
			q, class := r.request(n+1, rand.New(rand.NewPCG(o.Seed, uint64(n))))
			code, err := call(r, q)
			if err != nil {
				return nil, err
			}
			if tallies[class] == nil {
				tallies[class] = &Tally{}
			}
			tallies[class].add(code)
		}
		return tallies, nil
	}
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	overHTTP, err = play(func(r *run, q proxy.Request) (int, error) {
		in, err := http.NewRequest(q.Method, "http://"+r.site.HTTP.String()+q.Path, strings.NewReader(q.Body))
		if err != nil {
			return 0, err
		}
		for name, value := range q.Header {
			in.Header.Set(name, value)
		}
		out, err := client.Do(in)
		if err != nil {
			return 0, err
		}
		defer out.Body.Close()
		_, err = io.Copy(io.Discard, out.Body)
		return out.StatusCode, err
	})
	if err != nil {
		return nil, nil, fmt.Errorf("over HTTP: %w", err)
	}
	var p *proxy.Proxy
	defer func() {
		if p != nil {
			p.Close()
		}
	}()
	overProcessor, err = play(func(r *run, q proxy.Request) (int, error) {
		if p == nil {
			var err error
			if p, err = proxy.Dial(r.ext, 1); err != nil {
				return 0, err
			}
		}
		a := p.DoWithRetries(context.Background(), q, nil)
		return a.Code, a.Err
	})
	if err != nil {
		return nil, nil, fmt.Errorf("over the processor: %w", err)
	}
	return overHTTP, overProcessor, nil
}

// PrintFronts writes both tallies for a reader.
func PrintFronts(out io.Writer, a, b map[string]*Tally) {
	fmt.Fprintf(out, "%-14s %24s %24s\n%-14s %24s %24s\n", "", "HTTP front", "processor", "class", "served refused failed", "served refused failed")
	for _, class := range slices.Sorted(maps.Keys(a)) {
		x, y := a[class], b[class]
		if y == nil {
			y = &Tally{}
		}
		fmt.Fprintf(out, "%-14s %10d %7d %6d %10d %7d %6d\n", class, x.Served, x.Rejected, x.Failed, y.Served, y.Rejected, y.Failed)
	}
}
