package sockets

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
)

// Request is a request as a transport reads it.
type Request struct {
	Class       string
	ID          string
	Key         string // idempotency key; empty for none
	AffinityKey string // empty for none
}

// Response is a server's response to a request.
type Response struct {
	Outcome model.Outcome
	Load    string // load report
}

// UnknownClassError is the error of a request whose class the fleet does not know.
type UnknownClassError struct{ Class string }

func (e *UnknownClassError) Error() string { return fmt.Sprintf("%q is not a known class", e.Class) }

// Submit passes a request to the server and waits for its response. If ctx ends first, the outcome is model.Unanswered
// and the work continues. Any error is an *UnknownClassError.
func (s *Server) Submit(ctx context.Context, r Request) (Response, error) {
	f := s.fleet
	class, err := f.classIndex(r.Class)
	if err != nil {
		return Response{}, err
	}
	request := model.Request{
		Class:     class,
		Work:      f.work(class, r.ID),
		Key:       r.Key,
		FaultSeed: hash(r.ID),
	}
	if r.Key == "" {
		request.Key = "id " + r.ID
	}
	if r.AffinityKey != "" {
		request.AffinityKey = hash(r.AffinityKey)
	}
	select {
	case outcome := <-s.arrive(request, r.ID):
		return Response{Outcome: outcome, Load: s.loadReport()}, nil
	case <-ctx.Done():
		return Response{Outcome: model.Unanswered}, nil
	}
}

// arrive passes a request to the model and returns the channel of its outcome.
func (s *Server) arrive(request model.Request, id string) <-chan model.Outcome {
	f := s.fleet
	outcome := make(chan model.Outcome, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.options.OnArrival != nil {
		f.options.OnArrival(s, id, f.Now())
	}
	f.requests++
	request.Number = f.requests
	s.pending[request.Number] = outcome
	s.deliver(s.machine.Arrive(f.Now(), request))
	s.deliver(s.machine.Advance(f.Now())) // completes requests that need no work
	s.scheduleAdvance()
	return outcome
}

// loadReport returns the current load report, to be sent with a response.
func (s *Server) loadReport() string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return formatLoad(s.machine.Report(s.fleet.Now()))
}

// Probe answers a load probe with a load report. It returns false if the server does not answer.
func (s *Server) Probe() (report string, ok bool) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	defer s.scheduleAdvance()
	load, ok := s.machine.Probe(s.fleet.Now())
	return formatLoad(load), ok
}

func formatLoad(load model.LoadReport) string {
	return fmt.Sprintf("eps=%.2f,queue=%.2f", load.ErrorsPerSecond, load.Queue)
}

// classIndex returns the index of the class with the given name, or else that of the class whose name is empty.
func (f *Fleet) classIndex(name string) (int, error) {
	if class, ok := f.index[name]; ok {
		return class, nil
	}
	if class, ok := f.index[""]; ok {
		return class, nil
	}
	return 0, &UnknownClassError{Class: name}
}

// work returns the work of a request. A random draw depends only on the seed and the request's ID, so that the work is
// the same at every server.
func (f *Fleet) work(class int, id string) time.Duration {
	if f.options.Work != nil {
		return f.options.Work(class, id)
	}
	mean, cv := f.options.Classes[class].Work, f.options.Classes[class].CV
	if cv <= 0 {
		return mean
	}
	rng := rand.New(rand.NewPCG(f.options.Seed, hash(id)))
	return time.Duration(plan.Lognormal(rng, float64(mean), cv))
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text) // a hash never returns an error
	return h.Sum64()
}
