// Package site reads the operator's file of pinedale-site and runs what it asks
// for: the engine, its fronts, and its source of membership.
package site

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"pinedale/internal/membership/merge"
)

// fileMost bounds the operator's file, in bytes: 10,000 servers take about 1 MiB.
const fileMost = 4 << 20

// File is the operator's file, as written.
type File struct {
	Version int    `toml:"version"`
	Name    string `toml:"name"`
	Site    string `toml:"site"`

	HTTP struct {
		Listen string `toml:"listen"`
	} `toml:"http"`
	ExtProc struct {
		Listen  string `toml:"listen"`
		Retries string `toml:"retries"`
		Streams int    `toml:"streams"`
		Backlog int    `toml:"backlog"`
	} `toml:"ext_proc"`
	Limits struct {
		MemoryMB            int      `toml:"memory_mb"`
		ClientConnections   int      `toml:"client_connections"`
		UpstreamConnections int      `toml:"upstream_connections"`
		OpenRequests        int      `toml:"open_requests"`
		Attempts            int      `toml:"attempts"`
		SecondCopies        bool     `toml:"second_copies"`
		Probes              bool     `toml:"probes"`
		RetryAfterMost      Duration `toml:"retry_after_most"`
		DialTimeout         Duration `toml:"dial_timeout"`
		IdleTimeout         Duration `toml:"idle_timeout"`
	} `toml:"limits"`
	Fleet struct {
		Sites      []string `toml:"sites"`
		Kinds      []string `toml:"kinds"`
		Instances  int      `toml:"instances"`
		Reports    []string `toml:"reports"`
		DrainGrace Duration `toml:"drain_grace"`
		ColdFrom   float64  `toml:"cold_from"`
		WarmWithin Duration `toml:"warm_within"`
		FallFactor float64  `toml:"fall_factor"`
		FallAfter  Duration `toml:"fall_after"`
	} `toml:"fleet"`
	Classes   []Class `toml:"class"`
	Discovery struct {
		Address   string   `toml:"address"`
		AskWithin Duration `toml:"ask_within"`
	} `toml:"discovery"`
	Ephemeral struct {
		Servers    []string `toml:"servers"`
		Path       string   `toml:"path"`
		Session    Duration `toml:"session"`
		DigestFile string   `toml:"digest_file"`
	} `toml:"ephemeral"`
	Membership struct {
		ShrinkMost float64  `toml:"shrink_most"`
		Hold       Duration `toml:"hold"`
		Lag        Duration `toml:"lag"`
	} `toml:"membership"`
	Servers []Server `toml:"server"`

	digest string // what digest_file holds

	lines map[string]int // of keys and tables, by path
}

// Class is one class of requests.
type Class struct {
	Name      string   `toml:"name"`
	Repeat    string   `toml:"repeat"`
	Group     string   `toml:"group"`
	Window    Duration `toml:"window"`
	Aim       Duration `toml:"aim"`
	Deadline  Duration `toml:"deadline"`
	Worth     *float64 `toml:"worth"` // 1 where it is not given
	LateWorth float64  `toml:"late_worth"`
}

// Server is one server of a fleet that does not change.
type Server struct {
	Name    string   `toml:"name"`
	Address string   `toml:"address"`
	Site    string   `toml:"site"`
	Kind    string   `toml:"kind"`
	Pod     int      `toml:"pod"`
	Share   *float64 `toml:"share"` // 1 where it is not given
}

// Duration is written with its unit: "250ms".
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

func (d Duration) micros() int64 { return time.Duration(d).Microseconds() }

// FileError says what is wrong with one key of the operator's file.
type FileError struct {
	Line   int // 0 if the key is not in the file
	Key    string
	Reason string
}

// Error is one line.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Key, e.Reason)
}

// Load reads and checks the operator's file. Its error joins one *FileError for
// every fault found; without one the file is good in whole.
func Load(path string) (*File, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	data, err := io.ReadAll(io.LimitReader(in, fileMost+1))
	if err != nil {
		return nil, err
	}
	return Parse(data)
}

// Parse is Load on a file's text.
func Parse(data []byte) (*File, error) {
	if len(data) > fileMost {
		return nil, &FileError{Key: "file", Reason: fmt.Sprintf("is over %d bytes", fileMost)}
	}
	if !utf8.Valid(data) {
		line := 1
		for len(data) > 0 {
			r, n := utf8.DecodeRune(data)
			if r == utf8.RuneError && n == 1 {
				break
			}
			if r == '\n' {
				line++
			}
			data = data[n:]
		}
		return nil, &FileError{Line: line, Key: "file", Reason: "is not UTF-8"}
	}
	f := defaults()
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(f); err != nil {
		return nil, decodeErrors(err)
	}
	f.lines = keyLines(data)
	c := check{file: f}
	c.all()
	if len(c.errs) > 0 {
		slices.SortStableFunc(c.errs, func(a, b *FileError) int { return a.Line - b.Line })
		errs := make([]error, len(c.errs))
		for i, e := range c.errs {
			errs[i] = e
		}
		return nil, errors.Join(errs...)
	}
	return f, nil
}

// defaults are what a file that says nothing gets.
func defaults() *File {
	f := &File{}
	f.ExtProc.Retries = "none"
	f.ExtProc.Streams = 10_000
	f.ExtProc.Backlog = 512
	f.Limits.MemoryMB = 256
	f.Limits.ClientConnections = 1024
	f.Limits.UpstreamConnections = 1024
	f.Limits.OpenRequests = 20_000
	f.Limits.Attempts = 3
	f.Limits.SecondCopies = true
	f.Limits.Probes = true
	f.Limits.RetryAfterMost = Duration(1500 * time.Millisecond)
	f.Limits.DialTimeout = Duration(250 * time.Millisecond)
	f.Limits.IdleTimeout = Duration(5 * time.Second)
	f.Fleet.Instances = 1
	f.Fleet.DrainGrace = Duration(2 * time.Second)
	f.Fleet.ColdFrom = 0.31
	f.Fleet.WarmWithin = Duration(8600 * time.Millisecond)
	f.Fleet.FallFactor = 2.5
	f.Fleet.FallAfter = Duration(time.Second)
	f.Discovery.AskWithin = Duration(10 * time.Second)
	f.Ephemeral.Session = Duration(15 * time.Second)
	f.Membership.ShrinkMost = merge.Defaults.ShrinkMost
	f.Membership.Hold = Duration(merge.Defaults.Hold)
	f.Membership.Lag = Duration(merge.Defaults.Lag)
	return f
}

// decodeErrors turns the library's errors into *FileErrors.
func decodeErrors(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		errs := make([]error, len(strict.Errors))
		for i := range strict.Errors {
			line, _ := strict.Errors[i].Position()
			errs[i] = &FileError{Line: line, Key: strings.Join(strict.Errors[i].Key(), "."), Reason: "is not a known key"}
		}
		return errors.Join(errs...)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		key := strings.Join(decode.Key(), ".")
		if key == "" {
			key = "file"
		}
		return &FileError{Line: line, Key: key, Reason: strings.TrimPrefix(decode.Error(), "toml: ")}
	}
	return &FileError{Key: "file", Reason: strings.TrimPrefix(err.Error(), "toml: ")}
}

// keyLines tells on which line each key and table of a well-formed file stands.
func keyLines(data []byte) map[string]int {
	lines, counts := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(data)
	table, line, counted := "", 1, 0 // lines up to this offset: expressions come in order
	for p.NextExpression() {
		e := p.Expression()
		var words []string
		for it := e.Key(); it.Next(); {
			if at := int(it.Node().Raw.Offset); at > counted {
				line += bytes.Count(data[counted:at], []byte("\n"))
				counted = at
			}
			words = append(words, string(it.Node().Data))
		}
		path := strings.Join(words, ".")
		switch e.Kind {
		case unstable.Table:
			table = path + "."
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d].", path, counts[path])
			counts[path]++
		case unstable.KeyValue:
			lines[table+path] = line
			continue
		default:
			continue
		}
		lines[strings.TrimSuffix(table, ".")] = line
	}
	return lines
}
