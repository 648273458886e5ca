package judge

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/internal/standin/ca"
	_ "pinedale/internal/standin/seeds"
)

const name = "soko-3.example.org"

// noon is when the certificates of these tests are offered.
var noon = ca.Epoch.Add(12 * time.Hour)

func named(data []byte) File { return File{Named: true, Data: data} }

func files(p *ca.Pair, roots ...[]byte) Files {
	return Files{Cert: named(p.Cert), Key: named(p.Key), Roots: named(bytes.Join(roots, nil))}
}

func server() Want { return Want{Names: []string{name}, Server: true, LeastRSA: 2048} }

// Each rule has what breaks it, and what nearly does.
func TestRules(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	between := root.Below("between")
	sound := root.Issue(ca.Spec{Names: []string{name}})
	issue := func(a *ca.Authority, s ca.Spec) Files {
		if s.Names == nil {
			s.Names = []string{name}
		}
		return files(a.Issue(s), root.PEM())
	}
	rsaKey := func(bits int) *rsa.PrivateKey {
		k, err := rsa.GenerateKey(rand.Reader, bits)
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	p224, err := ecdsa.GenerateKey(elliptic.P224(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	with := func(f Files, change func(*Files)) Files { change(&f); return f }
	ok := files(sound, root.PEM())
	revoked := root.Issue(ca.Spec{Names: []string{name}})
	below := between.Issue(ca.Spec{Names: []string{name}})
	for what, c := range map[string]struct {
		files Files
		want  Want
		rule  Rule
		says  string
	}{
		"sound":                    {ok, server(), 0, ""},
		"sound, an address":        {issue(root, ca.Spec{Names: []string{"127.0.0.1"}}), Want{Names: []string{"127.0.0.1"}}, 0, ""},
		"sound, SPIFFE":            {issue(root, ca.Spec{Names: []string{"spiffe://soko/pay"}}), Want{Names: []string{"spiffe://soko/pay"}}, 0, ""},
		"sound, over another":      {files(below, root.PEM()), server(), 0, ""},
		"sound, RSA":               {issue(root, ca.Spec{Key: rsaKey(2048)}), server(), 0, ""},
		"trust alone":              {Files{Roots: named(root.PEM())}, Want{}, 0, ""},
		"text between the blocks":  {with(ok, func(f *Files) { f.Cert.Data = append([]byte("issued for the market\n"), f.Cert.Data...) }), server(), 0, ""},
		"gone":                     {with(ok, func(f *Files) { f.Cert = File{Named: true, Err: errors.New("no such file")} }), server(), Unreadable, "no such file"},
		"empty":                    {with(ok, func(f *Files) { f.Key.Data = nil }), server(), Unreadable, "empty"},
		"too large":                {with(ok, func(f *Files) { f.Roots.Data = make([]byte, FileMost+1) }), server(), Unreadable, "bytes"},
		"half a certificate":       {with(ok, func(f *Files) { f.Cert.Data = f.Cert.Data[:200] }), server(), Incomplete, "does not end"},
		"half a key":               {with(ok, func(f *Files) { f.Key.Data = f.Key.Data[:60] }), server(), Incomplete, "does not end"},
		"a key for a certificate":  {with(ok, func(f *Files) { f.Cert.Data = sound.Key }), server(), Incomplete, "no certificate"},
		"a certificate for a key":  {with(ok, func(f *Files) { f.Key.Data = sound.Cert }), server(), Incomplete, "no private key"},
		"noise in a block":         {with(ok, func(f *Files) { f.Cert.Data = []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n") }), server(), Incomplete, "x509"},
		"another's key":            {with(ok, func(f *Files) { f.Key.Data = revoked.Key }), server(), Mismatch, "not the certificate's"},
		"small RSA":                {issue(root, ca.Spec{Key: rsaKey(2048)}), Want{LeastRSA: 3072}, Weak, "2048 bits"},
		"small curve":              {issue(root, ca.Spec{Key: p224}), server(), Weak, "224 bits"},
		"another name":             {issue(root, ca.Spec{Names: []string{"soko-4.example.org"}}), server(), Names, "soko-4.example.org"},
		"no name":                  {issue(root, ca.Spec{Names: []string{}}), Want{Names: []string{name}}, Names, "no name"},
		"two SPIFFE names":         {issue(root, ca.Spec{Names: []string{"spiffe://soko/pay", "spiffe://soko/all"}}), Want{Names: []string{"spiffe://soko/pay"}}, Names, "spiffe://soko/all"},
		"a client's for a server":  {issue(root, ca.Spec{Uses: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}), server(), Usage, "server"},
		"a server's for a client":  {issue(root, ca.Spec{Uses: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}), Want{}, Usage, "client"},
		"not yet":                  {issue(root, ca.Spec{From: noon.Add(time.Minute)}), server(), Early, "2026-01-01T12:01:00Z"},
		"over":                     {issue(root, ca.Spec{Until: noon.Add(-time.Minute)}), server(), Over, "2026-01-01T11:59:00Z"},
		"over, and permitted":      {issue(root, ca.Spec{Until: noon.Add(-time.Minute)}), Want{Names: []string{name}, Server: true, PermitOver: true}, 0, ""},
		"another root's":           {issue(other, ca.Spec{}), server(), Chain, "unknown authority"},
		"half a chain":             {issue(between, ca.Spec{LeaveOutBetween: true}), server(), Chain, "unknown authority"},
		"revoked":                  {with(files(revoked, root.PEM()), func(f *Files) { f.Revoked = named(root.Revoke(revoked.Leaf)) }), server(), Revoked, "revoked"},
		"its issuer revoked":       {with(files(below, root.PEM()), func(f *Files) { f.Revoked = named(root.Revoke(between.Cert)) }), server(), Revoked, "between"},
		"others revoked":           {with(ok, func(f *Files) { f.Revoked = named(root.Revoke(revoked.Leaf)) }), server(), 0, ""},
		"a list by another":        {with(ok, func(f *Files) { f.Revoked = named(other.Revoke(sound.Leaf)) }), server(), Incomplete, "signed by no root"},
		"no list in the list file": {with(ok, func(f *Files) { f.Revoked = named(sound.Cert) }), server(), Incomplete, "no revocation list"},
	} {
		m, fault := Parse(c.files)
		if fault == nil {
			fault = m.Check(noon, c.want)
		}
		switch {
		case fault == nil && c.rule != 0:
			t.Errorf("%s: taken, want %s", what, c.rule)
		case fault != nil && (fault.Rule != c.rule || !strings.Contains(fault.Reason, c.says)):
			t.Errorf("%s: %v, want %s with %q", what, fault, c.rule, c.says)
		}
	}
}

// What is half of a change is waited for without a word, for so long; what stays wrong is told once.
func TestHalfAChange(t *testing.T) {
	root := ca.New(t, "root")
	old, next := root.Issue(ca.Spec{Names: []string{name}}), root.Issue(ca.Spec{Names: []string{name}})
	half := files(next, root.PEM())
	half.Key = named(old.Key)
	r := New(server(), time.Minute)
	if v := r.Offer(noon, files(old, root.PEM())); v.Action != Take {
		t.Fatalf("the first: %+v", v)
	}
	at := noon.Add(time.Minute)
	if v := r.Offer(at, half); v.Action != Wait || v.Tell || !v.Again.Equal(at.Add(Settle)) {
		t.Errorf("the certificate alone: %+v", v)
	}
	if v := r.Offer(at.Add(Settle/2), files(next, root.PEM())); v.Action != Take || !v.Tell {
		t.Errorf("both: %+v", v)
	}
	at = at.Add(time.Hour)
	half = files(old, root.PEM())
	half.Key = named(next.Key[:50])
	r.Offer(at, half)
	half.Key = named(next.Key) // from half to half is one change
	for i, want := range []Verdict{{Action: Wait}, {Action: Keep, Tell: true}, {Action: Keep}} {
		v := r.Offer(at.Add(time.Duration(i)*Settle+Settle/2), half)
		if v.Action != want.Action || v.Tell != want.Tell || v.Fault.Rule != Mismatch {
			t.Errorf("look %d: %+v, want %+v", i, v, want)
		}
	}
	if v := r.Offer(at.Add(time.Hour), files(next, root.PEM())); v.Action != Same {
		t.Errorf("back to what serves: %+v", v)
	}
	if m, n := r.Serving(); n != 2 || !m.Leaf().Equal(next.Leaf) {
		t.Errorf("material %d serves", n)
	}
}

// One that is not valid yet is taken when it is, though nobody touches its file; a clock that is set back
// keeps what serves.
func TestEarlyAndClockSetBack(t *testing.T) {
	root := ca.New(t, "root")
	r := New(server(), time.Minute)
	r.Offer(noon, files(root.Issue(ca.Spec{Names: []string{name}}), root.PEM()))
	early := files(root.Issue(ca.Spec{Names: []string{name}, From: noon.Add(time.Hour)}), root.PEM())
	if v := r.Offer(noon, early); v.Action != Wait || !v.Tell || !v.Again.Equal(noon.Add(time.Hour)) {
		t.Errorf("early: %+v", v)
	}
	if v := r.Offer(noon.Add(time.Minute), early); v.Action != Wait || v.Tell {
		t.Errorf("still early: %+v", v)
	}
	if v := r.Offer(noon.Add(-48*time.Hour), early); v.Action != Wait {
		t.Errorf("the clock set back: %+v", v)
	}
	if _, n := r.Serving(); n != 1 {
		t.Errorf("material %d serves", n)
	}
	if v := r.Offer(noon.Add(time.Hour), early); v.Action != Take {
		t.Errorf("in time: %+v", v)
	}
}

func TestWarnings(t *testing.T) {
	root := ca.New(t, "root")
	r := New(server(), time.Minute)
	if _, ok := r.Warn(noon); ok {
		t.Error("warned of nothing")
	}
	end := noon.AddDate(0, 0, 60)
	r.Offer(noon, files(root.Issue(ca.Spec{Names: []string{name}, Until: end}), root.PEM()))
	var got []Warning
	for now := noon; now.Before(end.Add(48 * time.Hour)); now = now.Add(30 * time.Minute) {
		if w, ok := r.Warn(now); ok {
			got = append(got, w)
		}
	}
	if len(got) != len(thresholds) {
		t.Fatalf("%d warnings: %+v", len(got), got)
	}
	for i, w := range got {
		if w.Left > thresholds[i] || w.Left < thresholds[i]-time.Hour || w.Loud != (thresholds[i] <= 24*time.Hour) {
			t.Errorf("warning %d: %+v", i, w)
		}
	}
	r.Offer(noon, files(root.Issue(ca.Spec{Names: []string{name}, Until: end.AddDate(0, 2, 0)}), root.PEM()))
	if _, ok := r.Warn(noon); ok {
		t.Error("a new certificate is warned of like the old one")
	}
}

func liveOn(r *Room, now time.Time, c Conn) (until time.Time, why string) {
	end := r.LiveOn(now, c)
	return end.Until, end.Why
}

// Connections end with the trust that they rest on, at once, and with an own key that was replaced, over a while.
func TestConnectionsThatLiveOn(t *testing.T) {
	old, next := ca.New(t, "old"), ca.New(t, "next")
	mine := old.Issue(ca.Spec{Names: []string{name}})
	peer := old.Issue(ca.Spec{Names: []string{"peer"}})
	byNext := next.Issue(ca.Spec{Names: []string{"peer"}})
	const use = x509.ExtKeyUsageServerAuth
	r := New(Want{LeastRSA: 2048}, time.Hour)
	conn := func(p *ca.Pair, material int) Conn {
		return Conn{Number: 7, Material: material, Own: mine.Leaf, Peer: []*x509.Certificate{p.Leaf}, Use: use}
	}
	r.Offer(noon, files(mine, old.PEM()))
	if until, why := liveOn(r, noon, conn(peer, 1)); !until.IsZero() {
		t.Errorf("nothing has changed: until %v, %s", until, why)
	}
	// Both roots for a while: connections stand, and are replaced over the hour.
	change := noon.Add(time.Minute)
	r.Offer(change, files(mine, old.PEM(), next.PEM()))
	ends := map[int]int{}
	for n := range uint64(6000) {
		c := conn(peer, 1)
		c.Number = n
		until, _ := liveOn(r, change, c)
		after := until.Sub(change)
		if after < 0 || after >= time.Hour {
			t.Fatalf("connection %d lives until %v after the change", n, after)
		}
		ends[int(after/(10*time.Minute))]++
	}
	for part, n := range ends {
		if len(ends) != 6 || n < 800 || n > 1200 {
			t.Errorf("in part %d of the hour %d of 6000 end: %v", part, n, ends)
		}
	}
	if until, why := liveOn(r, change, conn(byNext, 2)); !until.IsZero() {
		t.Errorf("one by the new root: until %v, %s", until, why)
	}
	// The old one is taken away while connections stand.
	r.Offer(noon.Add(2*time.Minute), files(next.Issue(ca.Spec{Names: []string{name}}), next.PEM()))
	at := noon.Add(2 * time.Minute)
	if until, why := liveOn(r, at, conn(peer, 2)); !until.Equal(at) || !strings.Contains(why, "no longer trusted") {
		t.Errorf("trust has gone: until %v, %s", until, why)
	}
	// Revoked and over.
	f := files(next.Issue(ca.Spec{Names: []string{name}, Until: noon.AddDate(1, 0, 0)}), next.PEM())
	f.Revoked = named(next.Revoke(byNext.Leaf))
	r.Offer(at, f)
	if until, why := liveOn(r, at, conn(byNext, 4)); !until.Equal(at) || !strings.Contains(why, "revoked") {
		t.Errorf("revoked: until %v, %s", until, why)
	}
	late := byNext.Leaf.NotAfter.Add(time.Second)
	if until, why := liveOn(r, late, conn(byNext, 4)); !until.Equal(late) || !strings.Contains(why, "over") {
		t.Errorf("over: until %v, %s", until, why)
	}
}

// The model: a file system on which certificates, keys and roots are swapped in any order, cut short and put
// back, under a clock that jumps. Whatever is offered, what serves was sound when it was taken, is never half
// of a change, and gives way to any sound set at once.
func TestAnyOrderOfChanges(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	var pairs []*ca.Pair
	for i := range 4 {
		pairs = append(pairs, root.Issue(ca.Spec{Names: []string{name}, From: noon.Add(time.Duration(i-1) * time.Hour)}))
	}
	pairs = append(pairs, other.Issue(ca.Spec{Names: []string{name}}), root.Issue(ca.Spec{Names: []string{"elsewhere"}}))
	rapid.Check(t, func(t *rapid.T) {
		r := New(server(), time.Minute)
		now := noon
		f := Files{Cert: named(pairs[0].Cert), Key: named(pairs[0].Key), Roots: named(root.PEM())}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			pair := pairs[rapid.IntRange(0, len(pairs)-1).Draw(t, "pair")]
			switch rapid.IntRange(0, 7).Draw(t, "change") {
			case 0, 1:
				f.Cert = named(pair.Cert)
			case 2, 3:
				f.Key = named(pair.Key)
			case 4:
				f.Cert.Data = pair.Cert[:rapid.IntRange(0, len(pair.Cert)).Draw(t, "cut")]
			case 5:
				f.Key = File{Named: true, Err: errors.New("gone")}
			case 6:
				f.Roots = named(bytes.Join([][]byte{root.PEM(), other.PEM()}[rapid.IntRange(0, 1).Draw(t, "roots"):], nil))
			case 7:
				now = now.Add(time.Duration(rapid.Int64Range(-int64(2*time.Hour), int64(3*time.Hour)).Draw(t, "clock")))
			}
			before, number := r.Serving()
			m, fault := Parse(f)
			sound := fault == nil && m.Check(now, server()) == nil
			v := r.Offer(now, f)
			after, next := r.Serving()
			switch {
			case sound && m.Same(before):
				if v.Action != Same || next != number {
					t.Fatalf("nothing has changed, and got %+v", v)
				}
			case sound:
				if v.Action != Take || !after.Same(m) || next != number+1 {
					t.Fatalf("a sound set was not taken: %+v", v)
				}
			default:
				if after != before || v.Action == Take || v.Action == Wait && !v.Again.After(now) {
					t.Fatalf("a set that breaks a rule: %+v", v)
				}
				if v.Action != Same && v.Fault == nil {
					t.Fatalf("no reason: %+v", v)
				}
			}
		}
	})
}

// No file has it panic, and no fault tells what a key file holds.
func FuzzParse(f *testing.F) {
	root := ca.New(f, "root")
	p := root.Issue(ca.Spec{Names: []string{name}})
	f.Add(p.Cert, p.Key, root.PEM(), root.Revoke(p.Leaf))
	f.Add(p.Cert[:100], p.Key[:100], []byte("-----BEGIN"), []byte{})
	f.Fuzz(func(t *testing.T, cert, key, roots, revoked []byte) {
		m, fault := Parse(Files{Cert: named(cert), Key: named(key), Roots: named(roots), Revoked: named(revoked)})
		if (m == nil) == (fault == nil) {
			t.Fatal("neither material nor a fault, or both")
		}
		if fault != nil {
			if len(key) > 40 && strings.Contains(fault.Error(), string(key[len(key)/2:len(key)/2+20])) && !bytes.Contains(cert, key[len(key)/2:len(key)/2+20]) {
				t.Errorf("the fault tells of the key: %v", fault)
			}
			return
		}
		_ = m.Check(noon, server()) // any result will do: it must not panic
	})
}

// What is remembered of a chain never says other than what the rules say: for any peer, name and instant, also
// with the clock set back, under roots and lists of its own.
func TestRememberedChains(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	between := root.Below("between")
	issue := func(a *ca.Authority, s ca.Spec) *ca.Pair {
		if s.Names == nil {
			s.Names = []string{name}
		}
		return a.Issue(s)
	}
	revoked := issue(root, ca.Spec{})
	var chains [][]*x509.Certificate
	for _, p := range []*ca.Pair{issue(root, ca.Spec{}), issue(between, ca.Spec{}), issue(between, ca.Spec{LeaveOutBetween: true}), issue(other, ca.Spec{}), revoked,
		issue(root, ca.Spec{From: noon, Until: noon.Add(time.Hour)}), issue(root, ca.Spec{Until: noon.Add(-time.Hour)}), issue(root, ca.Spec{Names: []string{"x.example.org"}})} {
		all, fault := certificates("peer", p.Cert)
		if fault != nil {
			t.Fatal(fault)
		}
		chains = append(chains, all)
	}
	sets := []Files{
		{Roots: File{Named: true, Data: root.PEM()}, Revoked: File{Named: true, Data: root.Revoke(revoked.Leaf)}},
		{Roots: File{Named: true, Data: root.PEM()}},
		{Roots: File{Named: true, Data: other.PEM()}},
	}
	parse := func(f Files) *Material {
		m, fault := Parse(f)
		if fault != nil {
			t.Fatal(fault)
		}
		return m
	}
	kept := []*Material{parse(sets[0]), parse(sets[1]), parse(sets[2])}
	rapid.Check(t, func(t *rapid.T) {
		set := rapid.IntRange(0, 2).Draw(t, "set")
		chain := rapid.SampledFrom(chains).Draw(t, "chain")
		side := Side{Names: []string{rapid.SampledFrom([]string{name, "x.example.org"}).Draw(t, "name")},
			Use: rapid.SampledFrom([]x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}).Draw(t, "use"), LeastRSA: 2048,
			OverBy: rapid.SampledFrom([]time.Duration{0, 2 * time.Hour}).Draw(t, "over")}
		now := noon.Add(time.Duration(rapid.IntRange(-180, 900).Draw(t, "minutes")) * time.Minute)
		got, want := kept[set].Admit(now, chain, side), parse(sets[set]).Admit(now, chain, side)
		if (got == nil) != (want == nil) || got != nil && got.Error() != want.Error() {
			t.Fatalf("remembered %v, by the rules %v", got, want)
		}
	})
}
