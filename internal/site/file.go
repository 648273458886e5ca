// Package site reads the operator's file of pinedale-site and runs what it asks
// for: the engine, its fronts, and its source of membership.
package site

import (
	"io"
	"os"
	"time"

	"pinedale/internal/membership/reconcile"
	"pinedale/internal/policy"
	"pinedale/internal/tomlfile"
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
		Keys   string `toml:"keys"`
	} `toml:"http"`
	HTTP3 struct {
		Listen      string `toml:"listen"`
		Keys        string `toml:"keys"`
		Connections int    `toml:"connections"`
		Streams     int    `toml:"streams"`
		Early       bool   `toml:"early"`
	} `toml:"http3"`
	Upstream struct {
		HTTP3            bool     `toml:"http3"`
		Keys             string   `toml:"keys"`
		Verify           string   `toml:"verify"`
		Handshakes       float64  `toml:"handshakes"`
		HandshakesAll    float64  `toml:"handshakes_all"`
		HandshakeBurst   float64  `toml:"handshake_burst"`
		HandshakeTimeout Duration `toml:"handshake_timeout"`
		Sessions         int      `toml:"sessions"`
	} `toml:"upstream"`
	Keys    []Keys `toml:"keys"`
	ExtProc struct {
		Listen  string `toml:"listen"`
		Keys    string `toml:"keys"`
		Retries string `toml:"retries"`
		Streams int    `toml:"streams"`
		Backlog int    `toml:"backlog"`
	} `toml:"ext_proc"`
	Limits struct {
		MemoryMB            int      `toml:"memory_mb" json:"MemoryMB"`
		ClientConnections   int      `toml:"client_connections" json:"ClientConnections"`
		UpstreamConnections int      `toml:"upstream_connections" json:"UpstreamConnections"`
		OpenRequests        int      `toml:"open_requests" json:"OpenRequests"`
		Attempts            int      `toml:"attempts" json:"Attempts"`
		SecondCopies        bool     `toml:"second_copies" json:"SecondCopies"`
		Probes              bool     `toml:"probes" json:"Probes"`
		RetryAfterMost      Duration `toml:"retry_after_most" json:"RetryAfterMost"`
		DialTimeout         Duration `toml:"dial_timeout" json:"DialTimeout"`
		IdleTimeout         Duration `toml:"idle_timeout" json:"IdleTimeout"`
		TimerSlack          Duration `toml:"timer_slack" json:"TimerSlack"`
		ClockError          float64  `toml:"clock_error" json:"ClockError"`
		AdmitRate           float64  `toml:"admit_rate" json:"AdmitRate"`
	} `toml:"limits"`
	Fleet struct {
		Sites      []string `toml:"sites"`
		Kinds      []string `toml:"kinds"`
		Instances  int      `toml:"instances"`
		Reports    []string `toml:"reports"`
		DrainGrace Duration `toml:"drain_grace"`
		DrainFor   Duration `toml:"drain_for"`
		ColdFrom   float64  `toml:"cold_from"`
		WarmWithin Duration `toml:"warm_within"`
		FallFactor float64  `toml:"fall_factor"`
		FallAfter  Duration `toml:"fall_after"`
		Subset     int      `toml:"subset"`
		Spread     float64  `toml:"subset_spread"`
	} `toml:"fleet"`
	Classes   []Class  `toml:"class"`
	Routes    []Route  `toml:"route"`
	Pools     []Pool   `toml:"pool"`
	Tenants   []Tenant `toml:"tenant"`
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
	Peers   struct {
		Listen    string            `toml:"listen"`
		Advertise string            `toml:"advertise"`
		Join      []string          `toml:"join"`
		Via       map[string]string `toml:"via"`
		KeysFile  string            `toml:"keys_file"`
		Witnesses []string          `toml:"witnesses"`
		Wait      Duration          `toml:"wait"`
		Status    string            `toml:"status"`
	} `toml:"peers"`

	peerKeys [][]byte // what peers.keys_file holds
	digest   string   // what digest_file holds
	table    *policy.Table
	warnings []*FileError
}

// Patience is what may be said of a class, and again of a route.
type Patience struct {
	Deadline     Duration `toml:"deadline" json:"Deadline"`
	TryFor       Duration `toml:"try_for" json:"TryFor"`
	Attempts     int      `toml:"attempts" json:"Attempts"`
	CopyAfter    Duration `toml:"copy_after" json:"CopyAfter"`
	SecondCopies *bool    `toml:"second_copies" json:"SecondCopies"`
	RetryShare   *float64 `toml:"retry_share" json:"RetryShare"`
	RetryBurst   *float64 `toml:"retry_burst" json:"RetryBurst"`
}

// Route is one route.
type Route struct {
	Patience
	Name    string            `toml:"name" json:"Name"`
	Host    string            `toml:"host" json:"Host"`
	Path    string            `toml:"path" json:"Path"`
	Prefix  string            `toml:"prefix" json:"Prefix"`
	Method  string            `toml:"method" json:"Method"`
	Headers map[string]string `toml:"headers" json:"Headers"`
	Class   string            `toml:"class" json:"Class"`
	Pool    string            `toml:"pool" json:"Pool"`
}

// Pool is a part of the fleet.
type Pool struct {
	Name  string   `toml:"name" json:"Name"`
	Sites []string `toml:"sites" json:"Sites"`
	Kinds []string `toml:"kinds" json:"Kinds"`
}

// Tenant is one tenant.
type Tenant struct {
	Name   string  `toml:"name" json:"Name"`
	Weight float64 `toml:"weight" json:"Weight"`
	Open   int     `toml:"open" json:"Open"`
}

// Class is one class of requests.
type Class struct {
	Name      string   `toml:"name" json:"Name"`
	Repeat    string   `toml:"repeat" json:"Repeat"`
	Group     string   `toml:"group" json:"Group"`
	Window    Duration `toml:"window" json:"Window"`
	Aim       Duration `toml:"aim" json:"Aim"`
	Worth     *float64 `toml:"worth" json:"Worth"` // 1 where it is not given
	LateWorth float64  `toml:"late_worth" json:"LateWorth"`
	CopyAt    float64  `toml:"copy_at" json:"CopyAt"`
	Usual     Duration `toml:"usual" json:"Usual"`
	Clients   string   `toml:"clients" json:"Clients"`
	Open      int      `toml:"open" json:"Open"`
	BrownOut  int      `toml:"brown_out" json:"BrownOut"`
	Agree     string   `toml:"agree" json:"Agree"` // "never" where it is not given
	Patience
}

// Server is one server of a fleet that does not change.
type Server struct {
	Name    string   `toml:"name"`
	Address string   `toml:"address"`
	Site    string   `toml:"site"`
	Kind    string   `toml:"kind"`
	Pod     int      `toml:"pod"`
	Share   *float64 `toml:"share"` // 1 where it is not given
	Verify  string   `toml:"verify"`
}

// What all files of this form share.
type (
	// Duration is that of all files of this form.
	Duration = tomlfile.Duration
	// FileError is a fault of such a file, with its line and key.
	FileError = tomlfile.Error
)

// Load reads and checks the operator's file. Its error joins one *FileError for
// every fault found; without one the file is good in whole.
func Load(path string) (*File, error) { return load(path, nil) }

// Next is Load for a file that is to follow this instance's: what requests in hand may
// be of keeps its place. Reload takes it.
func (i *Instance) Next(path string) (*File, error) { return load(path, i.Table()) }

func load(path string, before *policy.Table) (*File, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	data, err := io.ReadAll(io.LimitReader(in, fileMost+1))
	if err != nil {
		return nil, err
	}
	return parse(data, before)
}

// Parse is Load on a file's text.
func Parse(data []byte) (*File, error) { return parse(data, nil) }

// Warnings are what is legal in a file, and unwise.
func (f *File) Warnings() []*FileError { return f.warnings }

// Table is what the file's classes and routes were compiled to.
func (f *File) Table() *policy.Table { return f.table }

// parse reads a file that is to follow a table in use, if that is not nil.
func parse(data []byte, before *policy.Table) (*File, error) {
	f := defaults()
	in, err := tomlfile.Decode(data, fileMost, f)
	if err != nil {
		return nil, err
	}
	c := check{in, f, before}
	c.all()
	if err := c.Err(); err != nil {
		return nil, err
	}
	f.warnings = in.Warnings()
	return f, nil
}

// defaults are what a file that says nothing gets.
func defaults() *File {
	f := &File{}
	f.HTTP3.Connections = 1024
	f.HTTP3.Streams = 100
	f.Upstream.Handshakes = 200
	f.Upstream.HandshakesAll = 500
	f.Upstream.HandshakeBurst = 20
	f.Upstream.HandshakeTimeout = Duration(500 * time.Millisecond)
	f.Upstream.Sessions = 4096
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
	f.Limits.TimerSlack = Duration(10 * time.Millisecond)
	f.Limits.ClockError = 0.0005 // 500 ppm: ordinary quartz is within 100
	f.Fleet.Instances = 1
	f.Fleet.DrainGrace = Duration(2 * time.Second)
	f.Fleet.ColdFrom = 0.31
	f.Fleet.WarmWithin = Duration(8600 * time.Millisecond)
	f.Fleet.FallFactor = 2.5
	f.Fleet.FallAfter = Duration(time.Second)
	f.Fleet.Spread = 2
	f.Discovery.AskWithin = Duration(10 * time.Second)
	f.Ephemeral.Session = Duration(15 * time.Second)
	f.Peers.Wait = Duration(40 * time.Millisecond)
	f.Membership.ShrinkMost = reconcile.DefaultConfig.MaxShrinkRatio
	f.Membership.Hold = Duration(reconcile.DefaultConfig.HoldTime)
	f.Membership.Lag = Duration(reconcile.DefaultConfig.MaxDiscoveryLag)
	return f
}
