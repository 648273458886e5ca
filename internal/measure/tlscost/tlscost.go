// Package tlscost measures what TLS costs: a resumed session beside a full handshake, and
// pinedale-proxy with TLS towards its servers beside httputil.ReverseProxy over
// http.Transport. Server, client and proxies are processes of their own, whose CPU time is
// theirs alone.
package tlscost

import (
	"context"
	"crypto"
	"crypto/rand"
	"crypto/rsa"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/certstore"
	"pinedale/internal/emulator/sockets/dualprotocol"
	"pinedale/internal/engine"
	"pinedale/internal/measure/process"
	"pinedale/internal/standin/ca"
	"pinedale/internal/upstream/handshake"
	"pinedale/internal/upstream/secure"
)

// Kinds are what this package's measurements start as processes of their own.
var Kinds = map[string]process.Serve{"tls-server": serveServer, "tls-client": serveClient, "tls-site": serveSite, "tls-reverse": serveReverse}

const serverName = "s-0.example.org"

// serveServer answers over HTTP/1.1 and HTTP/3. Its argument is the folder with its files;
// with "mutual" clients must show a certificate.
func serveServer(args []string) (line string, stop func(), err error) {
	f := ca.FolderAt(ca.PanicOnFatal{}, args[0])
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return "", nil, err
	}
	base := &tls.Config{Certificates: []tls.Certificate{pair}}
	if args[1] == "mutual" {
		text, err := os.ReadFile(f.Roots)
		if err != nil {
			return "", nil, err
		}
		base.ClientCAs = x509.NewCertPool()
		base.ClientCAs.AppendCertsFromPEM(text)
		base.ClientAuth = tls.RequireAndVerifyClientCert
	}
	answer := []byte(strings.Repeat("x", 512))
	return dualprotocol.Listen("127.0.0.1:0", dualprotocol.Options{
		Config: func(protocol string) *tls.Config {
			c := base.Clone()
			c.NextProtos = []string{protocol}
			return c
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("X-Backend-Load", "inflight=1")
			_, _ = w.Write(answer)
		})})
}

// client is this side's security, without a bound that would be felt.
func client(f *ca.Folder) (*secure.Client, error) {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	certificates, err := certstore.Open(certstore.Options{Paths: certstore.Paths{Cert: f.Cert, Key: f.Key, Roots: f.Roots}, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	return secure.New(secure.Options{KeyStore: certificates, Names: &secure.Names{Pattern: serverName}, Budget: handshake.Config{PerServer: 1e6, All: 1e6, InitialWarmupRatio: 1, Burst: 1e6},
		Sessions: 16, Timeout: 10 * time.Second, Log: log})
}

// serveClient does handshakes one after the other and says how long they took: the median and
// the 99th percentile, and the CPU time of each, in nanoseconds. Arguments: the folder, the
// server's address, the protocol, "full" or "resumed", and how many.
func serveClient(args []string) (line string, stop func(), err error) {
	c, err := client(ca.FolderAt(ca.PanicOnFatal{}, args[0]))
	if err != nil {
		return "", nil, err
	}
	at := &engine.Target{Name: "s-0", Address: args[1]}
	n, err := strconv.Atoi(args[4])
	if err != nil {
		return "", nil, err
	}
	shake := handshakeTCP
	if args[2] == "h3" {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return "", nil, err
		}
		transport := &quic.Transport{Conn: socket}
		defer transport.Close()
		to, err := net.ResolveUDPAddr("udp", at.Address)
		if err != nil {
			return "", nil, err
		}
		shake = func(c *secure.Client, at *engine.Target, read bool) (time.Duration, bool, error) {
			return handshakeQUIC(c, transport, to, at, read)
		}
	}
	const first = 20 // handshakes that are not counted, and bring the session
	var took []time.Duration
	var before time.Duration
	for i := range n + first {
		if i == first {
			before = processCPU()
		}
		if args[3] == "full" {
			c.Retire(at)
		}
		d, resumed, err := shake(c, at, i < first)
		if err != nil {
			return "", nil, err
		}
		if i >= first {
			took = append(took, d)
			if resumed != (args[3] == "resumed") {
				return "", nil, fmt.Errorf("handshake %d, %s: resumed %t", i, args[3], resumed)
			}
		}
	}
	cpu := processCPU() - before
	slices.Sort(took)
	return fmt.Sprintln(took[len(took)/2].Nanoseconds(), took[len(took)*99/100].Nanoseconds(), cpu.Nanoseconds()/int64(n)), func() {}, nil
}

func processCPU() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail with these arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// handshakeTCP does a handshake; with read it waits for an answer, and so for tickets.
func handshakeTCP(c *secure.Client, at *engine.Target, read bool) (took time.Duration, resumed bool, err error) {
	raw, err := net.Dial("tcp", at.Address)
	if err != nil {
		return 0, false, err
	}
	began := time.Now()
	s, err := c.Secure(context.Background(), at, raw)
	if err != nil {
		return 0, false, err
	}
	took = time.Since(began)
	defer s.Close()
	if read {
		if _, err := io.WriteString(s, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
			return 0, false, err
		}
		if _, err := io.Copy(io.Discard, s); err != nil {
			return 0, false, err
		}
	}
	return took, s.(interface{ ConnectionState() tls.ConnectionState }).ConnectionState().DidResume, nil
}

// ticketWait is how long a ticket may take that comes behind a handshake over QUIC.
const ticketWait = 20 * time.Millisecond

func handshakeQUIC(c *secure.Client, transport *quic.Transport, to *net.UDPAddr, at *engine.Target, read bool) (took time.Duration, resumed bool, err error) {
	config, end, err := c.QUIC(at)
	if err != nil {
		return 0, false, err
	}
	began := time.Now()
	conn, err := transport.Dial(context.Background(), to, http3.ConfigureTLSConfig(config), nil)
	if err != nil {
		end(tls.ConnectionState{}, err)
		return 0, false, err
	}
	took = time.Since(began)
	state := conn.ConnectionState().TLS
	end(state, nil)
	if read {
		time.Sleep(ticketWait)
	}
	_ = conn.CloseWithError(0, "") // it is not needed any more
	return took, state.DidResume, nil
}

// files writes what a server and a client need into folders below dir.
func files(dir string, key func() (crypto.Signer, error)) (server, client *ca.Folder, err error) {
	root := ca.New(ca.PanicOnFatal{}, "root")
	between := root.NewIntermediate("between") // as most have it
	for _, x := range []struct {
		at   **ca.Folder
		name string
	}{{&server, "s-0.example.org"}, {&client, "pinedale.example.org"}} {
		at := filepath.Join(dir, x.name)
		if err := os.MkdirAll(at, 0o700); err != nil {
			return nil, nil, err
		}
		*x.at = ca.FolderAt(ca.PanicOnFatal{}, at)
		spec := ca.Spec{Names: []string{x.name, "127.0.0.1"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour)}
		if key != nil {
			if spec.Key, err = key(); err != nil {
				return nil, nil, err
			}
		}
		(*x.at).WritePair(between.Issue(spec))
		(*x.at).WriteFile((*x.at).Roots, root.PEM())
	}
	return server, client, nil
}

// Row is one kind of handshake: full and resumed.
type Row struct {
	Name           string
	Median, P99    [2]time.Duration
	Client, Server [2]time.Duration // CPU of each
}

// Handshakes measures, full and resumed in turn, in so many rounds of n each.
func Handshakes(dir string, rounds, n int) ([]Row, error) {
	var rows []Row
	for i, x := range []struct {
		name, protocol, mutual string
		key                    func() (crypto.Signer, error)
	}{
		{"HTTP/1.1, ECDSA P-256", "http/1.1", "", nil},
		{"HTTP/1.1, ECDSA P-256, both sides", "http/1.1", "mutual", nil},
		{"HTTP/1.1, RSA 2048", "http/1.1", "", rsa2048},
		{"HTTP/1.1, RSA 2048, both sides", "http/1.1", "mutual", rsa2048},
		{"HTTP/3, ECDSA P-256", "h3", "", nil},
	} {
		row, err := one(filepath.Join(dir, strconv.Itoa(i)), x.protocol, x.mutual, x.key, rounds, n)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", x.name, err)
		}
		row.Name = x.name
		rows = append(rows, *row)
	}
	return rows, nil
}

func rsa2048() (crypto.Signer, error) { return rsa.GenerateKey(rand.Reader, 2048) }

func one(dir, protocol, mutual string, key func() (crypto.Signer, error), rounds, n int) (*Row, error) {
	server, client, err := files(dir, key)
	if err != nil {
		return nil, err
	}
	p, err := process.Start("tls-server", "", filepath.Dir(server.Cert), mutual)
	if err != nil {
		return nil, err
	}
	defer p.Stop()
	var r Row
	var median, p99, mine, theirs [2][]time.Duration
	for range rounds {
		for way, name := range [...]string{"full", "resumed"} {
			before, _, err := p.Figures()
			if err != nil {
				return nil, err
			}
			c, err := process.Start("tls-client", "", filepath.Dir(client.Cert), p.Line, protocol, name, strconv.Itoa(n))
			if err != nil {
				return nil, err
			}
			line := c.Line
			c.Stop()
			after, _, err := p.Figures()
			if err != nil {
				return nil, err
			}
			var m, q, cpu int64
			if _, err := fmt.Sscan(line, &m, &q, &cpu); err != nil {
				return nil, fmt.Errorf("%q: %w", line, err)
			}
			median[way] = append(median[way], time.Duration(m))
			p99[way] = append(p99[way], time.Duration(q))
			mine[way] = append(mine[way], time.Duration(cpu))
			theirs[way] = append(theirs[way], (after-before)/time.Duration(n))
		}
	}
	for way := range 2 {
		r.Median[way], r.P99[way], r.Client[way], r.Server[way] = middle(median[way]), middle(p99[way]), middle(mine[way]), middle(theirs[way])
	}
	return &r, nil
}

func middle(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}

// PrintHandshakes writes the rows for a reader.
func PrintHandshakes(out io.Writer, rows []Row) {
	fmt.Fprintf(out, "%-36s %28s %28s %28s %28s\n", "full, resumed, ratio", "median", "p99", "CPU of the client", "CPU of the server")
	for _, r := range rows {
		fmt.Fprintf(out, "%-36s", r.Name)
		for _, x := range [][2]time.Duration{r.Median, r.P99, r.Client, r.Server} {
			fmt.Fprintf(out, " %10v %10v %5.2f", x[0].Round(time.Microsecond), x[1].Round(time.Microsecond), float64(x[1])/float64(x[0]))
		}
		fmt.Fprintln(out)
	}
}
