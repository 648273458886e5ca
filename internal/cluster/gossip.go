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
	// On average, one in instanceEntryInterval advertisements is about the instance itself while
	// there are changed tallies of servers to advertise.
	instanceEntryInterval = 8
	// minInstanceInterval is the minimum time from an advertisement about the instance to the next one.
	minInstanceInterval = time.Second
)

// gossip replicates entries: it advertises the observations of this instance, forwards rumours,
// and repairs by anti-entropy what rumours failed to deliver. The node's goroutine owns it, except for
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
	firstBucket       int // bucket at which the next response to a digest begins
}

// advertise writes an entry about one server whose tally has changed, or about the instance
// itself. The interval between entries grows with the size of the fleet.
func (g *gossip) advertise(now time.Duration) {
	if now < g.nextAdvertisement {
		return
	}
	g.nextAdvertisement = now + replication.AdvertisementInterval(g.members.count())
	if g.rng.IntN(instanceEntryInterval) != 0 {
		incarnation, server := g.tallies.next()
		if server != nil {
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

// put encodes a record and writes it to the store.
func (g *gossip) put(now time.Duration, topic replication.Topic, subject string, record proto.Message) {
	value, err := proto.Marshal(record)
	if err == nil {
		err = g.store.Put(now, topic, subject, value)
	}
	if err != nil {
		g.log.Debug("advertisement failed", "topic", topic, "subject", subject, "err", err)
	}
}

// sendRumours sends new entries to a few randomly selected instances.
func (g *gossip) sendRumours(now time.Duration) {
	others := g.members.others()
	rumours := g.store.Rumours(now)
	for range min(replication.Fanout, len(others)) {
		index := g.rng.IntN(len(others))
		if len(rumours) > 0 {
			g.transport.send(others[index], message.Rumours(rumours))
		}
		others = slices.Delete(others, index, index+1)
	}
}

// sendDigest starts a round of anti-entropy with a randomly selected instance.
func (g *gossip) sendDigest() {
	others := g.members.others()
	if len(others) > 0 {
		g.transport.send(others[g.rng.IntN(len(others))], g.store.Digest())
	}
}

// handleDigest responds to a digest with the vectors of some of the buckets that differ.
func (g *gossip) handleDigest(sender string, digest replication.Digest) {
	vectors := g.store.HandleDigest(digest, g.firstBucket)
	if vectors == nil {
		return
	}
	if g.transport.sendWithinBudget(sender, vectors) {
		g.firstBucket = (g.firstBucket + 1) % replication.DigestBuckets
	}
}

// handleVectors responds to vectors with the deltas that their sender is missing, and with vectors
// that request the deltas that are missing here.
func (g *gossip) handleVectors(now time.Duration, sender string, vectors *replication.Vectors) {
	deltas, local := g.store.HandleVectors(now, vectors)
	if local != nil {
		g.transport.sendWithinBudget(sender, local)
	}
	for _, delta := range deltas {
		if !g.transport.sendWithinBudget(sender, delta) {
			break
		}
	}
}
