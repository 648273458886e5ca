package main

import (
	"fmt"
	"strings"

	"pinedale/balancer"
	"pinedale/internal/wire"
)

// instance is one balancer together with its implementation of balancer.Actions, which writes each action to the host's
// reply.
type instance struct {
	reply    *wire.Reply
	balancer *balancer.Balancer // nil before the begin record, after the stop record and after a panic
}

// handle passes an event to the balancer. After a panic it writes an exception record and discards the balancer.
func (i *instance) handle(now balancer.Micros, event *wire.Event) {
	defer func() {
		if reason := recover(); reason != nil {
			i.balancer = nil
			i.reply.Exception(fmt.Sprintf("panic in %v: %v", event.Code, reason))
		}
	}()
	switch {
	case event.Code == wire.Begin:
		i.begin(now, event)
	case event.Code == wire.Stop:
		i.balancer = nil
	case i.balancer != nil:
		i.dispatch(now, event)
	}
}

// begin replaces the balancer with a new one that has the settings of a begin record.
func (i *instance) begin(now balancer.Micros, event *wire.Event) {
	i.balancer = nil
	settings, err := wire.ParseSettings(event.Config)
	if err == nil {
		i.balancer, err = balancer.New(settings, event.Seed, i)
	}
	if err != nil {
		i.reply.Exception(err.Error())
		return
	}
	i.balancer.Start(now)
}

// dispatch calls the balancer method for an event.
func (i *instance) dispatch(now balancer.Micros, event *wire.Event) {
	outcome := &event.Outcome
	switch event.Code {
	case wire.Membership:
		i.balancer.UpdateEndpoints(now, event.Kind, event.Entries)
	case wire.Request:
		i.balancer.HandleRequest(now, event.Request)
	case wire.Headers:
		i.balancer.ResponseStarted(now, outcome.ID, outcome.Attempt, outcome.Latency)
	case wire.Answer:
		i.balancer.AttemptCompleted(now, *outcome)
	case wire.CancelledByClient:
		i.balancer.ClientDisconnected(now, outcome.ID)
	case wire.TimeoutFired:
		i.balancer.TimerFired(now, event.Token)
	case wire.HealthResult:
		i.balancer.ProbeCompleted(now, event.Endpoint, event.Status, event.Latency, event.Load)
	}
}

// Send writes a deliver record.
func (i *instance) Send(id uint64, endpoint uint32, timeout, _ balancer.Micros) {
	i.reply.Deliver(id, endpoint, timeout)
}

// Reject writes a decline record.
func (i *instance) Reject(id uint64, retryAfter balancer.Micros) { i.reply.Decline(id, retryAfter) }

// Fail writes a fail record.
func (i *instance) Fail(id uint64) { i.reply.Fail(id) }

// Cancel writes a revoke record.
func (i *instance) Cancel(id uint64, attempt int) { i.reply.Revoke(id, attempt) }

// Timer writes an arm record.
func (i *instance) Timer(delay balancer.Micros, token uint32) { i.reply.Arm(delay, token) }

// Probe writes a sound_out record.
func (i *instance) Probe(endpoint uint32) { i.reply.SoundOut(endpoint) }

// Watch writes a track record.
func (i *instance) Watch(on bool) { i.reply.Track(on) }

// Log writes a trace record: the event, then its attributes as key=value.
func (i *instance) Log(event string, attributes ...any) {
	var line strings.Builder
	line.WriteString(event)
	for n := 0; n+1 < len(attributes); n += 2 {
		fmt.Fprintf(&line, " %v=%v", attributes[n], attributes[n+1])
	}
	i.reply.Trace(line.String())
}
