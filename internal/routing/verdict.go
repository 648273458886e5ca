// Package verdict is the memory of a front whose callers carry attempts out
// themselves: another proxy asks where to send a request, sends it, and reports.
// A Ledger knows which asks mean the same request, what each has been told, and
// what may be told again without a second effect. Which server, whether to retry
// and what is refused stays the decision module's; the ledger passes requests on
// to it and its decisions back.
//
// A Ledger does no I/O and has no clock. It is for one caller at a time: the host
// passes each event with its instant, and the ledger calls Actions.
//
// Words used here: an ask is one question of a caller (one stream). A round is one
// request as the decision module knows it. An entry is what asks share that mean
// the same effect: those with one idempotency key, or with one id where the class
// has no keys. An entry has one round at a time, and outlives it.
package routing

import (
	"slices"

	"pinedale/balancer"
)

// Micros is the decision module's time.
type Micros = balancer.Micros

// Ask names one question of a caller. The host never gives a name twice.
type Ask uint64

// Query is what a caller asks.
type Query struct {
	Ask    Ask
	ID     string // of the request: new with every try of a client
	Key    string // names the effect where the class is keyed, with the tenant; else ""
	Print  uint64 // of all that must be the same when the same effect is asked for again
	Body   balancer.Request
	Tenant string
}

// Kind says what a caller is told.
type Kind uint8

// The kinds of verdict and of reply.
const (
	Go       Kind = iota // send it to the endpoint named
	Refuse               // a retry is harmless
	Fail                 // no promise
	Conflict             // the ask contradicts another; nothing is to be sent for it
	Misuse               // a key or an id was used for another request
	Busy                 // no room to remember it: a retry is harmless
	Pass                 // of a report: the answer goes to the client as it is
	Again                // of a report: the caller may ask again for the same request
)

// Told is a verdict on an ask, or a reply to its report.
type Told struct {
	Kind       Kind
	Ref        any    // of Go: what the host gave with the decision
	Attempt    int    // of Go
	Copies     int    // of Go: how often this attempt has been handed out, this time included
	RetryAfter Micros // of Refuse and Busy
	Reason     string // of Conflict and Misuse
}

// Place is where an attempt was sent, as far as repeats go.
type Place struct {
	Zone uint8
	Cell uint16
}

// Outcome is what a caller reports of an attempt.
type Outcome struct {
	Status   balancer.Status
	Endpoint uint32 // that served it, 0 for the one it was told
	Place    Place  // of that endpoint, if it is not 0
	Strange  bool   // an endpoint served it that nobody knows
	Load     []float32
}

// Actions is what a ledger asks of its host. Calls come from within event methods.
type Actions interface {
	// Begin passes a request to the decision module as a new round, with the key of its effect where it has one. The module's
	// decision may come within the call, by Decided, Refused or Failed.
	Begin(round uint64, key string, in balancer.Request)
	// Leave tells the module that the round's client is gone. Its attempts may be
	// cancelled within the call, by Cancelled.
	Leave(round uint64)
	// End tells the module how an attempt ended, exactly once for each. Settled says
	// that the client has its answer. A new decision may come within the call.
	End(round uint64, attempt int, o Outcome, settled bool)
	// Usable says whether an attempt may still be sent where it was decided.
	Usable(ref any) bool
	// Tell gives an ask its verdict, once for each that has not left before.
	Tell(ask Ask, t Told)
}

// Limits bound a ledger.
type Limits struct {
	Classes  []balancer.Class
	Attempts int  // copies of a round that may be handed out
	Copies   bool // two may be out at once
	Retries  bool // callers ask again after a reported failure
	Entries  int  // remembered at once, at most
}

// OfferFor is how long a further attempt stands for a caller to ask again. Proxies
// wait between tries: Envoy up to 25 ms before the first retry and 250 ms at most.
const OfferFor Micros = 250_000

// carry is kept of a window for the way of a verdict to its use: what is handed out
// at the window's last instant would come to the server after it. A caller next
// door needs under a millisecond; a crowded one some tens.
const carry Micros = 100_000

// busyAfter is the wait advised when nothing more can be remembered: entries are
// kept for seconds.
const busyAfter Micros = 1_000_000

// Ledger keeps a front's asks. Make one with New.
type Ledger struct {
	limits Limits
	out    Actions
	last   uint64 // round given

	asks    map[Ask]*ask
	rounds  map[uint64]*round // with an attempt that has no end, or no answer
	entries map[string]*entry
	ids     map[string]*holder // of requests that are asked about
	offers  []offerDue         // further attempts that nobody has asked for, the earliest first
	keep    [][]keepDue        // by class: entries to forget, the earliest first
}

// holder counts the asks with one id: it means one entry while any is there.
type holder struct {
	entry *entry
	asks  int
}

type ask struct {
	name     Ask
	id       string
	entry    *entry
	round    *round // whose attempt it was told; nil before
	attempt  int
	reported bool
}

// entry is what asks share that mean one effect.
type entry struct {
	name    string
	print   uint64
	class   uint8
	round   *round
	waiting []*ask // for a decision
	asks    int    // that are there
	tries   []try  // of the client
	strange bool   // a server had it that nobody knows
	kept    bool   // it is due to be forgotten
	left    Micros // when its last ask went

	ran     bool // a copy of an earlier round may have run
	earlier balancer.PreviousAttempt
}

// try is one request for an entry's effect: a client's tries have ids of their own.
type try struct {
	id     string
	copies int // handed out
}

// triesMost is how many tries of a client are told apart: one that makes more than
// its first and a dozen retries within seconds is broken.
const triesMost = 16

// round is one request as the decision module knows it.
type round struct {
	number   uint64
	id       string // of the request that began it
	entry    *entry
	deadline Micros
	most     int // attempts that the module may decide
	attempts []attempt
	out      int  // attempts without end
	answered bool // the module has given its final answer, or the client is gone
	final    Told // if it was Refuse or Fail
	served   int  // the attempt that was served, -1 if none
}

type attempt struct {
	ref    any // the host's own
	place  Place
	at     Micros // first handed out
	copies int    // handed out
	asks   int    // that were told it and wait for the server
	offer  bool   // nobody has asked for it yet
	ended  bool
	ran    bool // it may have run: handed out, and nothing proves that it did not
}

type offerDue struct {
	at      Micros
	round   *round
	attempt int
}

type keepDue struct {
	at    Micros
	entry *entry
}

// New returns an empty ledger.
func New(l Limits, out Actions) *Ledger {
	return &Ledger{limits: l, out: out, asks: map[Ask]*ask{}, rounds: map[uint64]*round{},
		entries: map[string]*entry{}, ids: map[string]*holder{}, keep: make([][]keepDue, len(l.Classes))}
}

// Classes tells of classes that have come; those of before keep their numbers.
func (l *Ledger) Classes(all []balancer.Class) {
	l.limits.Classes = all
	for len(l.keep) < len(all) {
		l.keep = append(l.keep, nil)
	}
}

// Held counts asks, rounds and entries.
func (l *Ledger) Held() (asks, rounds, entries int) {
	return len(l.asks), len(l.rounds), len(l.entries)
}

// ---- Asks ------------------------------------------------------------------

// name tells which asks mean the same effect.
func name(q *Query) string {
	if q.Key != "" {
		return "k" + q.Tenant + "\x00" + q.Key
	}
	return "i" + q.ID
}

// Reasons told with Conflict and Misuse.
const (
	reasonID      = "another request with this id is open"
	reasonKey     = "the key or id was used for another request"
	reasonUnsafe  = "the request may have run and must not be repeated"
	reasonOpen    = "the request is open, and two copies may not be out at once"
	reasonWindow  = "the servers may have forgotten the key: the request must not be repeated"
	reasonLimit   = "the request has had all its attempts"
	reasonRetired = "the server of the first copy takes nothing new"
	reasonStrange = "a server had the request that is not in the list: it must not be repeated"
)

// Ask takes a caller's question. Its verdict comes by Tell, now or later.
func (l *Ledger) Ask(now Micros, q Query) {
	a := &ask{name: q.Ask, id: q.ID}
	l.asks[q.Ask] = a
	key := name(&q)
	e := l.entries[key]
	if h := l.ids[q.ID]; h != nil && h.entry != e {
		l.out.Tell(q.Ask, Told{Kind: Misuse, Reason: reasonID})
		return
	}
	if e != nil && e.print != q.Print {
		l.out.Tell(q.Ask, Told{Kind: Misuse, Reason: reasonKey})
		return
	}
	if e == nil {
		if len(l.entries) >= l.limits.Entries {
			l.out.Tell(q.Ask, Told{Kind: Busy, RetryAfter: busyAfter})
			return
		}
		e = &entry{name: key, print: q.Print, class: q.Body.Class}
		l.entries[key] = e
	}
	l.attach(a, e)
	switch r := e.round; {
	case r == nil:
		l.begin(now, e, a, q)
	case !r.answered:
		l.join(now, r, a)
	case r.served >= 0 && l.repeats(e) != balancer.Idempotent:
		l.replay(now, r, r.served, a)
	case r.id == q.ID && r.final.Kind != Go:
		l.out.Tell(a.name, r.final) // the final answer to this request stands
	default:
		l.begin(now, e, a, q)
	}
}

func (l *Ledger) repeats(e *entry) balancer.Idempotency { return l.limits.Classes[e.class].Idempotency }

func (l *Ledger) attach(a *ask, e *entry) {
	a.entry = e
	e.asks++
	h := l.ids[a.id]
	if h == nil {
		h = &holder{entry: e}
		l.ids[a.id] = h
	}
	h.asks++
}

// bound is the first copy that may have run.
func (e *entry) bound() (balancer.PreviousAttempt, bool) {
	if e.ran || e.round == nil {
		return e.earlier, e.ran
	}
	for i := range e.round.attempts {
		if t := &e.round.attempts[i]; t.ran {
			return balancer.PreviousAttempt{At: t.at, Zone: t.place.Zone, Cell: t.place.Cell}, true
		}
	}
	return balancer.PreviousAttempt{}, false
}

// copies is the count of what was handed out for a request, nil if it is one too many.
func (e *entry) copies(id string) *int {
	for i := range e.tries {
		if e.tries[i].id == id {
			return &e.tries[i].copies
		}
	}
	if len(e.tries) == triesMost {
		return nil
	}
	e.tries = append(e.tries, try{id: id})
	return &e.tries[len(e.tries)-1].copies
}

// attempts is how many copies may be handed out for a request: fewer than the limit if it
// brings such a bound.
func (l *Ledger) attempts(q *Query) int {
	if q.Body.MaxAttempts > 0 {
		return min(q.Body.MaxAttempts, l.limits.Attempts)
	}
	return l.limits.Attempts
}

// exhausted says that no copy may be handed out for a request any more, of so many.
func (l *Ledger) exhausted(e *entry, id string, most int) bool {
	n := e.copies(id)
	return n == nil || *n >= most
}

// begin passes a request to the module. What may have run before binds it.
func (l *Ledger) begin(now Micros, e *entry, a *ask, q Query) {
	e.earlier, e.ran = e.bound()
	reason := ""
	switch repeat := l.repeats(e); {
	case l.exhausted(e, q.ID, l.attempts(&q)):
		reason = reasonLimit
	case e.ran && repeat == balancer.NotIdempotent:
		reason = reasonUnsafe
	case e.strange && repeat != balancer.Idempotent:
		reason = reasonStrange
	}
	if reason != "" {
		l.out.Tell(a.name, Told{Kind: Conflict, Reason: reason})
		return
	}
	in := q.Body
	in.MayHaveRun, in.PreviousAttempt = e.ran, e.earlier
	in.PreviousAttempt.At -= carry
	in.NoHedging, in.MaxAttempts = true, 1
	if l.limits.Retries {
		in.MaxAttempts = l.attempts(&q) - *e.copies(q.ID)
	}
	l.last++
	r := &round{number: l.last, id: q.ID, entry: e, deadline: in.Deadline, most: in.MaxAttempts, served: -1}
	e.round = r
	e.waiting = append(e.waiting, a)
	l.rounds[r.number] = r
	l.out.Begin(r.number, q.Key, in)
}

// join has an ask share the round that is open.
func (l *Ledger) join(now Micros, r *round, a *ask) {
	n := len(r.attempts) - 1
	if n >= 0 && !r.attempts[n].offer {
		l.replay(now, r, n, a)
		return
	}
	if l.exhausted(r.entry, a.id, l.limits.Attempts) { // late copies of the attempt before took them all
		l.out.Tell(a.name, Told{Kind: Conflict, Reason: reasonLimit})
		return
	}
	r.entry.waiting = append(r.entry.waiting, a)
	if n < 0 {
		return // the decision is still to come
	}
	// A further attempt stands. Where its server takes nothing new any more, or the
	// servers may have forgotten the key meanwhile, the module decides anew.
	c, late := &l.limits.Classes[r.entry.class], false
	if first, ran := r.entry.bound(); ran && c.Idempotency == balancer.IdempotentWithKey {
		late = now >= first.At+c.DedupWindow-carry
	}
	if !late && l.out.Usable(r.attempts[n].ref) {
		l.hand(now, r, n)
	} else {
		l.end(r, n, Outcome{Status: balancer.NotSent}, false)
	}
}

// replay hands out once more what was handed out before, where a repeat is harmless.
func (l *Ledger) replay(now Micros, r *round, n int, a *ask) {
	e, t := r.entry, &r.attempts[n]
	c, reason := &l.limits.Classes[e.class], ""
	first, _ := e.bound()
	switch {
	case c.Idempotency == balancer.NotIdempotent:
		reason = reasonUnsafe
	case e.strange && c.Idempotency == balancer.IdempotentWithKey:
		reason = reasonStrange
	case !t.ended && !l.limits.Copies:
		reason = reasonOpen
	case c.Idempotency == balancer.IdempotentWithKey && now >= first.At+c.DedupWindow-carry:
		reason = reasonWindow
	case l.exhausted(e, a.id, l.limits.Attempts):
		reason = reasonLimit
	case !l.out.Usable(r.attempts[n].ref):
		reason = reasonRetired
	}
	if reason != "" {
		l.out.Tell(a.name, Told{Kind: Conflict, Reason: reason})
		return
	}
	l.tell(now, r, n, a)
}

// tell hands an attempt out to an ask.
func (l *Ledger) tell(now Micros, r *round, n int, a *ask) {
	t := &r.attempts[n]
	if t.copies == 0 {
		t.at = now
	}
	t.copies++
	t.asks++
	t.ran = true
	*r.entry.copies(a.id)++
	a.round, a.attempt = r, n
	l.out.Tell(a.name, Told{Kind: Go, Ref: t.ref, Attempt: n, Copies: t.copies})
}

// hand gives the latest attempt to all that wait for it.
func (l *Ledger) hand(now Micros, r *round, n int) {
	waiting := r.entry.waiting
	r.entry.waiting = nil
	r.attempts[n].offer = false
	for i, a := range waiting {
		if i == 0 {
			l.tell(now, r, n, a)
		} else {
			l.replay(now, r, n, a)
		}
	}
}

// ---- Decisions of the module -----------------------------------------------

// Decided takes the module's decision to send a round's next attempt. ref is the
// host's own: it comes back with the verdict.
func (l *Ledger) Decided(now Micros, number uint64, place Place, ref any) {
	r := l.rounds[number]
	n := len(r.attempts)
	r.attempts = append(r.attempts, attempt{place: place, ref: ref})
	r.out++
	if len(r.entry.waiting) > 0 {
		l.hand(now, r, n)
	} else {
		r.attempts[n].offer = true
		l.offers = append(l.offers, offerDue{now + OfferFor, r, n})
	}
}

// Refused takes the module's final answer that a retry is harmless.
func (l *Ledger) Refused(now Micros, number uint64, after Micros) {
	l.answer(now, number, Told{Kind: Refuse, RetryAfter: after})
}

// Failed takes the module's final answer that promises nothing.
func (l *Ledger) Failed(now Micros, number uint64) { l.answer(now, number, Told{Kind: Fail}) }

func (l *Ledger) answer(now Micros, number uint64, t Told) {
	r := l.rounds[number]
	if r == nil || r.answered {
		return
	}
	r.answered, r.final = true, t
	waiting := r.entry.waiting
	r.entry.waiting = nil
	for _, a := range waiting {
		l.out.Tell(a.name, t)
	}
	l.close(r)
	l.release(now, r.entry)
}

// Cancelled takes the module's word that it waits for an attempt no longer. A
// caller that still waits for the server when the time is up makes it a time-out;
// else nothing is held against the server. It must not be called from within an
// action.
func (l *Ledger) Cancelled(now Micros, number uint64, n int) {
	r := l.rounds[number]
	if r == nil || n >= len(r.attempts) || r.attempts[n].ended {
		return
	}
	status := balancer.Cancelled
	if t := &r.attempts[n]; t.copies == 0 {
		status = balancer.NotSent
	} else if t.asks > 0 && now >= r.deadline {
		status = balancer.Timeout
	}
	l.end(r, n, Outcome{Status: status}, true)
}

// end tells the module how an attempt ended, once.
func (l *Ledger) end(r *round, n int, o Outcome, settled bool) {
	t := &r.attempts[n]
	t.ended = true
	if o.Status == balancer.ConnectFailed || o.Status == balancer.Full || o.Status == balancer.NotSent {
		t.ran = false
	}
	r.out--
	l.out.End(r.number, n, o, settled)
	l.close(r)
}

func (l *Ledger) close(r *round) {
	if r.answered && r.out == 0 {
		delete(l.rounds, r.number)
	}
}

// leave ends a round whose client is gone, or has its answer from elsewhere.
func (l *Ledger) leave(now Micros, r *round) {
	r.answered = true
	l.out.Leave(r.number)
	for n := range r.attempts {
		l.Cancelled(now, r.number, n)
	}
	l.close(r)
}

// ---- Reports ---------------------------------------------------------------

// Report takes what came of the attempt that an ask was told, and returns what is
// to be made of the answer. Only an ask that was told Go may report, and once.
func (l *Ledger) Report(now Micros, name Ask, o Outcome) Told {
	a := l.asks[name]
	if a == nil || a.round == nil || a.reported {
		return Told{Kind: Pass}
	}
	a.reported = true
	r, n := a.round, a.attempt
	t := &r.attempts[n]
	t.asks--
	if t.copies > 1 {
		// That this copy never ran proves nothing of the others.
		switch o.Status {
		case balancer.Full:
			o.Status = balancer.Error
		case balancer.ConnectFailed, balancer.NotSent:
			o.Status = balancer.Reset
		}
	}
	if o.Endpoint != 0 {
		t.place = o.Place
	}
	ok := o.Status == balancer.OK
	if ok && r.served < 0 {
		r.served = n
	}
	if o.Strange {
		// Nothing can be learned of a server that is not in the list.
		r.entry.strange, o.Status = true, balancer.Cancelled
	}
	if !t.ended {
		// Copies that were handed out twice leave the module attempts that must not be used.
		spent := l.exhausted(r.entry, r.id, l.limits.Attempts) && len(r.attempts) < r.most
		r.answered = r.answered || r.served >= 0 || o.Strange || spent
		l.end(r, n, o, r.answered && o.Status != balancer.OK)
	}
	last := &r.attempts[len(r.attempts)-1]
	switch {
	case ok:
		return Told{Kind: Pass}
	case r.final.Kind != Go:
		return r.final
	case !r.answered && !last.ended && last.offer:
		return Told{Kind: Again}
	}
	return Told{Kind: Fail}
}

// Stale takes that a verdict was not passed on, since its server takes nothing new
// any more. The ask gets another.
func (l *Ledger) Stale(now Micros, name Ask) {
	a := l.asks[name]
	if a == nil || a.round == nil || a.reported {
		return
	}
	r, n := a.round, a.attempt
	t := &r.attempts[n]
	t.asks--
	t.copies--
	*r.entry.copies(a.id)--
	t.ran = t.copies > 0
	a.round = nil
	switch {
	case t.ran:
		l.out.Tell(name, Told{Kind: Conflict, Reason: reasonRetired})
	case r.answered && r.final.Kind != Go:
		l.out.Tell(name, r.final)
	case r.answered || t.ended:
		l.out.Tell(name, Told{Kind: Fail})
	default:
		r.entry.waiting = append(r.entry.waiting, a)
		l.end(r, n, Outcome{Status: balancer.NotSent}, false)
	}
}

// Left takes that an ask is over: its caller has ended the stream, or broken it.
// unsent says that the verdict certainly never reached the caller.
func (l *Ledger) Left(now Micros, name Ask, unsent bool) {
	a := l.asks[name]
	delete(l.asks, name)
	if a == nil || a.entry == nil {
		return
	}
	e := a.entry
	e.asks--
	e.left = now
	if h := l.ids[a.id]; h != nil {
		if h.asks--; h.asks == 0 {
			delete(l.ids, a.id)
		}
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(w *ask) bool { return w == a })
	if a.round != nil && !a.reported {
		t := &a.round.attempts[a.attempt]
		t.asks--
		if unsent && !t.ended {
			t.copies--
			*e.copies(a.id)--
			t.ran = t.copies > 0
		}
	}
	if r := e.round; r != nil && !r.answered && l.deserted(r) {
		l.leave(now, r)
	}
	l.release(now, e)
}

// deserted says that nobody waits for a round: no ask for a decision, none for a
// server, and no further attempt stands to be asked for.
func (l *Ledger) deserted(r *round) bool {
	if len(r.entry.waiting) > 0 {
		return false
	}
	for i := range r.attempts {
		t := &r.attempts[i]
		if t.asks > 0 || !t.ended && t.offer {
			return false
		}
	}
	return true
}

// ---- Memory ----------------------------------------------------------------

// memory is how long an entry of a class is kept after its last ask: a client's
// patience over all its tries, and the window for which servers remember it.
func (l *Ledger) memory(class uint8) Micros {
	return l.limits.Classes[class].ClientTimeout + l.limits.Classes[class].DedupWindow
}

// release forgets an entry that nobody asks for, or has it forgotten later if a
// copy may have run that must not be repeated freely.
func (l *Ledger) release(now Micros, e *entry) {
	if e.asks > 0 || e.kept || e.round != nil && !e.round.answered {
		return
	}
	if _, ran := e.bound(); ran && l.repeats(e) != balancer.Idempotent {
		e.kept = true
		l.keep[e.class] = append(l.keep[e.class], keepDue{now + l.memory(e.class), e})
		return
	}
	delete(l.entries, e.name)
}

// Tick takes the time: what nobody asked for in time is over, and what is old is
// forgotten. It is due every OfferFor at the latest while anything is held.
func (l *Ledger) Tick(now Micros) {
	for len(l.offers) > 0 && l.offers[0].at <= now {
		r, n := l.offers[0].round, l.offers[0].attempt
		l.offers[0] = offerDue{}
		l.offers = l.offers[1:]
		if t := &r.attempts[n]; !r.answered && !t.ended && t.offer {
			l.leave(now, r)
			l.release(now, r.entry)
		}
	}
	for class := range l.keep {
		for len(l.keep[class]) > 0 && l.keep[class][0].at <= now {
			e := l.keep[class][0].entry
			l.keep[class][0] = keepDue{}
			l.keep[class] = l.keep[class][1:]
			if e.kept = false; e.left+l.memory(e.class) > now {
				l.release(now, e) // it was asked for again meanwhile
			} else if e.asks == 0 && (e.round == nil || e.round.answered) {
				delete(l.entries, e.name)
			}
		}
	}
}
