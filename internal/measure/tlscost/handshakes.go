package tlscost

import (
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"time"

	"pinedale/internal/measure/harness"
	"pinedale/internal/measure/process"
)

// byKind has a duration for each of handshakeKinds.
type byKind [len(handshakeKinds)]time.Duration

// HandshakeRow is the result of one configuration, for full and for resumed handshakes.
type HandshakeRow struct {
	Name           string
	Median, P99    byKind
	Client, Server byKind // CPU time of each side
}

// HandshakeRows are the rows of a table.
type HandshakeRows []HandshakeRow

// handshakeCase is a configuration that is measured.
type handshakeCase struct {
	name           string
	protocol       string
	authentication string // mutual, or empty if clients need no certificate
	newKey         newKeyFunc
}

var handshakeCases = []handshakeCase{
	{name: "HTTP/1.1, ECDSA P-256", protocol: "http/1.1"},
	{name: "HTTP/1.1, ECDSA P-256, both sides", protocol: "http/1.1", authentication: mutual},
	{name: "HTTP/1.1, RSA 2048", protocol: "http/1.1", newKey: newRSAKey},
	{name: "HTTP/1.1, RSA 2048, both sides", protocol: "http/1.1", authentication: mutual, newKey: newRSAKey},
	{name: "HTTP/3, ECDSA P-256", protocol: protocolHTTP3},
}

// Handshakes measures full and resumed handshakes in alternating rounds of count handshakes. It writes its files below
// dir.
func Handshakes(dir string, rounds, count int) (HandshakeRows, error) {
	var rows HandshakeRows
	for i := range handshakeCases {
		c := &handshakeCases[i]
		row, err := c.measure(filepath.Join(dir, strconv.Itoa(i)), rounds, count)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.name, err)
		}
		rows = append(rows, *row)
	}
	return rows, nil
}

// handshakeSamples has the figures of one kind of handshake, by round.
type handshakeSamples struct {
	median, p99, client, server []time.Duration
}

// measure starts the server and measures one configuration. Each figure of the row is the median of the rounds.
func (c *handshakeCase) measure(dir string, rounds, count int) (*HandshakeRow, error) {
	server, client, err := writeIdentities(dir, c.newKey)
	if err != nil {
		return nil, err
	}
	serverProcess, err := process.Start(serverKind, "", server.dir, c.authentication)
	if err != nil {
		return nil, err
	}
	defer serverProcess.Stop()
	var samples [len(handshakeKinds)]handshakeSamples
	for range rounds {
		for i, kind := range handshakeKinds {
			args := []string{client.dir, serverProcess.Line, c.protocol, string(kind), strconv.Itoa(count)}
			if err := samples[i].add(serverProcess, args, count); err != nil {
				return nil, err
			}
		}
	}
	row := &HandshakeRow{Name: c.name}
	for i := range samples {
		row.Median[i] = harness.Median(samples[i].median)
		row.P99[i] = harness.Median(samples[i].p99)
		row.Client[i] = harness.Median(samples[i].client)
		row.Server[i] = harness.Median(samples[i].server)
	}
	return row, nil
}

// add runs a client with args, and adds its figures and the CPU time that the server used for each handshake.
func (s *handshakeSamples) add(server *process.Process, args []string, count int) error {
	before, err := server.Usage()
	if err != nil {
		return err
	}
	client, err := process.Start(clientKind, "", args...)
	if err != nil {
		return err
	}
	client.Stop()
	after, err := server.Usage()
	if err != nil {
		return err
	}
	report, err := parseClientReport(client.Line)
	if err != nil {
		return err
	}
	s.median = append(s.median, report.median)
	s.p99 = append(s.p99, report.p99)
	s.client = append(s.client, report.cpu)
	s.server = append(s.server, (after.CPU-before.CPU)/time.Duration(count))
	return nil
}

// Print writes the rows as a table.
func (rows HandshakeRows) Print(w io.Writer) {
	fmt.Fprintf(w, "%-36s %28s %28s %28s %28s\n",
		"full, resumed, ratio", "median", "p99", "CPU of the client", "CPU of the server")
	for i := range rows {
		row := &rows[i]
		fmt.Fprintf(w, "%-36s", row.Name)
		for _, figure := range []byKind{row.Median, row.P99, row.Client, row.Server} {
			full, resumed := figure[0], figure[1]
			fmt.Fprintf(w, " %10v %10v %5.2f",
				full.Round(time.Microsecond), resumed.Round(time.Microsecond), float64(resumed)/float64(full))
		}
		fmt.Fprintln(w)
	}
}
