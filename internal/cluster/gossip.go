package cluster

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/internal/cluster/message"
	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/replication"
)

const (
	// instanceSubject is the subject of an instance's entry about itself.
	instanceSubject = "self"
	// instanceEntryRatio is the share of advertisements that are about the instance itself while
	// there is something to advertise about servers: one in so many.
	instanceEntryRatio = 8
	// minInstanceInterval is the least time between an advertisement about the instance itself
	// and the next.
	minInstanceInterval = time.Second
)

// gossip replicates entries: it advertises what this instance has observed, passes on rumours,
// and finds by anti-entropy what rumours have missed. The node's goroutine owns it, except for
// tallies, which have a lock.
type gossip struct {
	cfg       *Config
	store     *replication.Store
	members   *membership
	transport *transport
	tallies   *tallies
	rng       *rand.Rand
	log       *slog.Logger

	nextAdvertisement time.Duration
	firstBucket       int // of the next vectors that answer a digest
}

// advertise writes an entry about one server whose tally has changed or about the instance
// itself, as often as the fleet's size allows.
func (g *gossip) advertise(now time.Duration) {
	if now < g.nextAdvertisement {
		return
	}
	g.nextAdvertisement = now + replication.AdvertisementInterval(g.members.count())
	if g.rng.IntN(instanceEntryRatio) != 0 {
		if incarnation, server := g.tallies.next(); server != nil {
			g.put(now, topicServer, incarnation, server)
			return
		}
	}
	g.nextAdvertisement = max(g.nextAdvertisement, now+minInstanceInterval)
	g.put(now, topicInstance, instanceSubject, &peerspb.Instance{
		Site:     g.cfg.Site,
		Build:    g.cfg.Build,
		Requests: g.tallies.rate(now),
		UptimeUs: uint64(now.Microseconds()),
	})
}

func (g *gossip) put(now time.Duration, topic replication.Topic, subject string, record proto.Message) {
	value, err := proto.Marshal(record)
	if err == nil {
		err = g.store.Put(now, topic, subject, value)
	}
	if err != nil {
		g.log.Debug("advertisement failed", "topic", topic, "subject", subject, "err", err)
	}
}

// sendRumours passes on new entries to a few other instances.
func (g *gossip) sendRumours(now time.Duration) {
	others := g.members.others()
	rumours := g.store.Rumours(now)
	for range min(replication.Fanout, len(others)) {
		i := g.rng.IntN(len(others))
		if len(rumours) > 0 {
			g.transport.send(others[i], message.Rumours(rumours))
		}
		others = slices.Delete(others, i, i+1)
	}
}

// sendDigest begins a round of anti-entropy with one other instance.
func (g *gossip) sendDigest() {
	others := g.members.others()
	if len(others) > 0 {
		g.transport.send(others[g.rng.IntN(len(others))], g.store.Digest())
	}
}

// handleDigest answers a digest with the vectors of some buckets that differ.
func (g *gossip) handleDigest(from string, digest replication.Digest) {
	vectors := g.store.HandleDigest(digest, g.firstBucket)
	if vectors == nil {
		return
	}
	if g.transport.sendAnswer(from, vectors) {
		g.firstBucket = (g.firstBucket + 1) % replication.DigestBuckets
	}
}

// handleVectors answers vectors with the deltas that their sender lacks, and with the vectors of
// what is lacking here.
func (g *gossip) handleVectors(now time.Duration, from string, vectors *replication.Vectors) {
	deltas, local := g.store.HandleVectors(now, vectors)
	if local != nil {
		g.transport.sendAnswer(from, local)
	}
	for _, delta := range deltas {
		if !g.transport.sendAnswer(from, delta) {
			break
		}
	}
}
