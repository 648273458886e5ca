package routing

import "pinedale/balancer"

// OfferTimeout is how long an unclaimed attempt stays on offer to a caller that retries. Proxies wait before they
// retry: Envoy up to 25 ms before the first retry and 250 ms at most.
const OfferTimeout Micros = 250_000

// offer is an attempt that the module scheduled while no stream waited for it.
type offer struct {
	expires Micros
	round   *round
	attempt int // index within round
}

// entryExpiry is an entry with the time from which it may be removed.
type entryExpiry struct {
	expires Micros
	entry   *entry
}

// retention returns how long an entry of a class is kept after its last stream was closed: the longest time that a
// client spends on all its retries, and the window for which endpoints remember the key.
func (l *Ledger) retention(class uint8) Micros {
	return l.limits.Classes[class].ClientTimeout + l.limits.Classes[class].DedupWindow
}

// release removes an entry that has neither a stream nor an unanswered round. If an attempt may have run that must not
// be repeated freely, release schedules the expiry of the entry instead.
func (l *Ledger) release(now Micros, e *entry) {
	if e.streams > 0 || e.expiryScheduled || e.round != nil && !e.round.answered {
		return
	}
	if _, mayHaveRun := e.firstThatMayHaveRun(); mayHaveRun && l.class(e).Idempotency != balancer.Idempotent {
		e.expiryScheduled = true
		l.expiries[e.class] = append(l.expiries[e.class], entryExpiry{expires: now + l.retention(e.class), entry: e})
		return
	}
	delete(l.entries, e.key)
}

// Tick cancels offers that no stream claimed in time and removes entries that have expired. The host must call it at
// least every OfferTimeout while the ledger is not empty.
func (l *Ledger) Tick(now Micros) {
	l.expireOffers(now)
	for class := range l.expiries {
		l.expireEntries(now, class)
	}
}

// expireOffers cancels the rounds whose attempt on offer was not claimed in time.
func (l *Ledger) expireOffers(now Micros) {
	for len(l.offers) > 0 && l.offers[0].expires <= now {
		r, index := l.offers[0].round, l.offers[0].attempt
		l.offers[0] = offer{}
		l.offers = l.offers[1:]
		if a := &r.attempts[index]; !r.answered && !a.completed && a.offered {
			l.cancelRound(now, r)
			l.release(now, r.entry)
		}
	}
}

// expireEntries removes the entries of a class whose retention has ended.
func (l *Ledger) expireEntries(now Micros, class int) {
	for len(l.expiries[class]) > 0 && l.expiries[class][0].expires <= now {
		e := l.expiries[class][0].entry
		l.expiries[class][0] = entryExpiry{}
		l.expiries[class] = l.expiries[class][1:]
		e.expiryScheduled = false
		if e.lastClosed+l.retention(e.class) > now {
			l.release(now, e) // another stream has used the entry in the meantime
		} else if e.streams == 0 && (e.round == nil || e.round.answered) {
			delete(l.entries, e.key)
		}
	}
}
