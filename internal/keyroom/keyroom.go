// Package keyroom keeps the keys and trust that a process serves with: it reads them from
// files, looks again when they change, and gives out TLS configurations that follow. What
// may serve is decided in package judge; a change is taken whole or not at all. Fronts and
// upstreams know of it, it knows of none.
package keyroom

import (
	"context"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fsnotify/fsnotify"

	"pinedale/internal/keyroom/judge"
)

const (
	// poll finds what notification misses: a network's file system tells of nothing.
	poll = 30 * time.Second
	// calm is waited after a notification: a script's writes come together.
	calm = 50 * time.Millisecond
	// ticketLife is how long one key makes tickets: who gets hold of it can read no more than
	// a day's resumed sessions. crypto/tls changes its own as often.
	ticketLife = 24 * time.Hour
)

// Paths name the files; "" for none.
type Paths struct {
	Cert    string // PEM: the leaf first, then what stands between it and its root
	Key     string // PEM, not encrypted
	Roots   string // PEM: whom peers are trusted by
	Revoked string // PEM: revocation lists, each signed by one of the roots
}

// Options are a room's surroundings.
type Options struct {
	Paths  Paths
	Want   judge.Want
	Spread time.Duration // over which connections are replaced after a change
	Least  uint16        // TLS version, tls.VersionTLS13 unless set
	Log    *slog.Logger
	Now    func() time.Time // time.Now unless set
}

// serving is what TLS configurations are made from. It does not change.
type serving struct {
	material *judge.Material
	number   int
	server   *tls.Config
	pair     []tls.Certificate
}

// Room keeps keys and trust. Make one with Open.
type Room struct {
	o   Options
	now atomic.Pointer[serving]

	mu    sync.Mutex // of all below
	judge *judge.Room
	again time.Time // when to look though nothing has changed
	takes int
	kept  int

	tickets time.Time // when the key of the tickets was made
}

// Open reads the files. It returns a *judge.Fault if they may not serve.
func Open(o Options) (*Room, error) {
	if o.Least == 0 {
		o.Least = tls.VersionTLS13
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	r := &Room{o: o, judge: judge.New(o.Want, o.Spread)}
	if v := r.Look(); v.Action != judge.Take {
		return nil, v.Fault
	}
	return r, nil
}

// read reads one file, as far as it may be large.
func read(path string) judge.File {
	if path == "" {
		return judge.File{}
	}
	f, err := os.Open(path)
	if err != nil {
		return judge.File{Named: true, Err: err}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, judge.FileMost+1))
	return judge.File{Named: true, Data: data, Err: err}
}

func (p *Paths) files() judge.Files {
	return judge.Files{Cert: read(p.Cert), Key: read(p.Key), Roots: read(p.Roots), Revoked: read(p.Revoked)}
}

// Read parses files, and does not judge whether they may serve.
func Read(p Paths) (*judge.Material, error) {
	m, fault := judge.Parse(p.files())
	if fault != nil {
		return nil, fault
	}
	return m, nil
}

// Look reads the files and takes what may serve.
func (r *Room) Look() judge.Verdict {
	files := r.o.Paths.files()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Now()
	v := r.judge.Offer(now, files)
	r.again = v.Again
	switch v.Action {
	case judge.Take:
		r.takes++
		r.serve()
	case judge.Keep:
		r.kept++
	}
	if r.now.Load() != nil && now.Sub(r.tickets) > ticketLife {
		r.serve()
	}
	r.tell(now, v)
	return v
}

// serve puts what the judge has taken in place of what served. It holds r.mu.
func (r *Room) serve() {
	m, number := r.judge.Serving()
	s := &serving{material: m, number: number}
	if leaf := m.Leaf(); leaf != nil {
		pair := tls.Certificate{PrivateKey: m.Key, Leaf: leaf}
		for _, c := range m.Certs {
			pair.Certificate = append(pair.Certificate, c.Raw)
		}
		s.pair = []tls.Certificate{pair}
	}
	// One configuration for each material: its tickets end with it, so that a session that
	// is resumed was verified under the trust and the identity of today. The key is set here
	// since libraries that copy the configuration would each come to their own.
	s.server = &tls.Config{MinVersion: r.o.Least, Certificates: s.pair}
	var ticket [32]byte
	rand.Read(ticket[:]) // never fails
	s.server.SetSessionTicketKeys([][32]byte{ticket})
	r.tickets = r.o.Now()
	if len(m.Roots) > 0 {
		s.server.ClientCAs, s.server.ClientAuth = m.Pool(), tls.RequireAnyClientCert // admit verifies it, by this room's clock
		s.server.VerifyConnection = func(state tls.ConnectionState) error { return r.admit(state, x509.ExtKeyUsageClientAuth) }
	}
	r.now.Store(s)
}

// tell logs what operators should hear. It holds r.mu.
func (r *Room) tell(now time.Time, v judge.Verdict) {
	if !v.Tell {
		return
	}
	log := r.o.Log.With("cert", r.o.Paths.Cert, "roots", r.o.Paths.Roots)
	if v.Action == judge.Take {
		m, number := r.judge.Serving()
		args := []any{"material", number}
		if leaf := m.Leaf(); leaf != nil {
			args = append(args, "for", judge.Shown(leaf), "issuer", leaf.Issuer.String(), "until", leaf.NotAfter.UTC(), "left", r.judge.Left(now).Round(time.Minute))
		}
		log.Info("keys are in use", args...)
		return
	}
	log.Error("keys in the files may not serve, the last good ones go on", "rule", v.Fault.Rule.String(), "file", v.Fault.File, "reason", v.Fault.Reason)
}

// warn logs that the serving certificate nears its end.
func (r *Room) warn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.judge.Warn(r.o.Now())
	if !ok {
		return
	}
	level := slog.LevelWarn
	if w.Loud {
		level = slog.LevelError
	}
	r.o.Log.Log(context.Background(), level, "a certificate nears its end", "cert", r.o.Paths.Cert, "left", w.Left.Round(time.Minute))
}

// Run looks at the files whenever they change, and every so often, until ctx ends.
func (r *Room) Run(ctx context.Context) {
	var events <-chan fsnotify.Event
	if watcher, err := fsnotify.NewWatcher(); err != nil {
		r.o.Log.Warn("file watch failed", "poll_interval", poll, "err", err)
	} else {
		defer watcher.Close()
		events = watcher.Events
		for _, path := range [...]string{r.o.Paths.Cert, r.o.Paths.Key, r.o.Paths.Roots, r.o.Paths.Revoked} {
			// Folders, not files: one that is renamed into place is another file.
			if path == "" {
				continue
			}
			if err := watcher.Add(filepath.Dir(path)); err != nil {
				r.o.Log.Warn("folder watch failed", "poll_interval", poll, "folder", filepath.Dir(path), "err", err)
			}
		}
	}
	// The first look comes at once: what changed before the folders were watched told nobody.
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-events:
			if !ok {
				events = nil
				continue
			}
			timer.Reset(calm)
		case <-timer.C:
			r.Look()
			r.warn()
			timer.Reset(r.pause())
		}
	}
}

// pause is until the next look.
func (r *Room) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.again.IsZero() {
		return poll
	}
	return min(poll, max(calm, r.again.Sub(r.o.Now())))
}

// Server is a server's configuration for some protocols (ALPN, RFC 7301): each connection
// gets the keys of its instant. Clients must show a certificate where the room has roots.
func (r *Room) Server(protocols ...string) *tls.Config {
	// Cloned once for each material: a clone for each connection would be made under load.
	type made struct {
		of     *serving
		config *tls.Config
	}
	var last atomic.Pointer[made]
	return &tls.Config{MinVersion: r.o.Least, NextProtos: protocols, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		s := r.now.Load()
		if m := last.Load(); m != nil && m.of == s {
			return m.config, nil
		}
		m := &made{s, s.server.Clone()}
		m.config.NextProtos = protocols
		last.Store(m)
		return m.config, nil
	}}
}

// Client is a client's configuration for one peer, verified by the name that the peer is
// known by here, never by what it presents. There is none without roots: the system's are
// not who a fleet's servers are trusted by. What fails a handshake for its certificate is a
// *judge.Fault.
func (r *Room) Client(name string) (*tls.Config, error) {
	s := r.now.Load()
	if len(s.material.Roots) == 0 {
		return nil, errors.New("no roots are named, and a peer cannot be verified without")
	}
	return &tls.Config{MinVersion: r.o.Least, ServerName: serverName(name), Time: r.o.Now,
		// The standard check knows neither SPIFFE names nor roots that change; what takes its
		// place is VerifyConnection, which also runs when a session is resumed.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return r.admit(state, x509.ExtKeyUsageServerAuth, name) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if pair := r.now.Load().pair; len(pair) > 0 {
				return &pair[0], nil
			}
			return &tls.Certificate{}, nil // the server decides whether it needs one
		}}, nil
}

// serverName is what is sent as SNI: a SPIFFE ID is no host.
func serverName(name string) string {
	if strings.HasPrefix(name, "spiffe://") {
		return ""
	}
	return name
}

// admit verifies what a peer has shown by the roots and lists of now.
func (r *Room) admit(state tls.ConnectionState, use x509.ExtKeyUsage, names ...string) error {
	side := r.judge.Side(use) // it does not change
	side.Names = names
	if fault := r.now.Load().material.Admit(r.o.Now(), state.PeerCertificates, side); fault != nil {
		return fault
	}
	return nil
}

// Secret is a key for some other use, made of the private key that serves (RFC 5869): the same
// after a restart, for as long as that key serves.
func (r *Room) Secret(use string) (secret [32]byte, err error) {
	m := r.now.Load().material
	if m.Key == nil {
		return secret, errors.New("no private key is there")
	}
	der, err := x509.MarshalPKCS8PrivateKey(m.Key)
	if err != nil {
		return secret, err
	}
	out, err := hkdf.Key(sha256.New, der, nil, use, len(secret))
	copy(secret[:], out)
	return secret, err
}

// Own is the certificate that is shown to peers, nil for none.
func (r *Room) Own() *x509.Certificate { return r.now.Load().material.Leaf() }

// Spread is over which connections are replaced after a change.
func (r *Room) Spread() time.Duration { return r.o.Spread }

// Number is that of the material in use, for LiveOn.
func (r *Room) Number() int { return r.now.Load().number }

// LiveOn says how long a connection may carry new requests.
func (r *Room) LiveOn(c judge.Conn) judge.End {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.judge.LiveOn(r.o.Now(), c)
}

// Counters are what happened since the start.
type Counters struct {
	Taken, Kept int           // looks that brought new material, and that found some that may not serve
	Left        time.Duration // until the serving certificate is over
}

// Counters returns them.
func (r *Room) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Counters{Taken: r.takes, Kept: r.kept}
	if m, _ := r.judge.Serving(); m.Leaf() != nil {
		c.Left = r.judge.Left(r.o.Now())
	}
	return c
}
