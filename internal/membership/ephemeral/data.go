package ephemeral

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/membership/reconcile"
)

const (
	dataMost  = 16 << 10 // bytes of a node's data: a few hundred are usual
	nameMost  = 256
	shareMost = 1e6
)

// Rules are what node data must keep to.
type Rules struct {
	Sites []string
	Kinds []string
}

// Data is a node's data in pinedale's own form.
type Data struct {
	Address   string  `json:"address"` // host:port
	Site      string  `json:"site,omitempty"`
	Kind      string  `json:"kind,omitempty"`
	Block     int     `json:"block,omitempty"`      // pod
	Share     float64 `json:"share,omitempty"`      // of the requests, against the others; 1 where not given
	StartedMS int64   `json:"started_ms,omitempty"` // when the process started, Unix time in milliseconds
	Draining  bool    `json:"draining,omitempty"`   // it wants nothing new
}

// curator is the payload of Apache Curator's service discovery (ServiceInstance).
type curator struct {
	Name         string          `json:"name"`
	ID           string          `json:"id"`
	Address      string          `json:"address"`
	Port         *int            `json:"port"`
	Payload      json.RawMessage `json:"payload"`
	Registration int64           `json:"registrationTimeUTC"`
	ServiceType  string          `json:"serviceType"`
	Enabled      *bool           `json:"enabled"`
}

// Parse reads a node's data: pinedale's own form, or Curator's. Its errors name the
// key and reason.
func Parse(node string, data []byte, rules Rules) (reconcile.Entry, error) {
	var e reconcile.Entry
	if len(node) == 0 || len(node) > nameMost {
		return e, fmt.Errorf("the node's name has %d characters, must be 1 to %d", len(node), nameMost)
	}
	if len(data) > dataMost {
		return e, fmt.Errorf("%d bytes, at most %d", len(data), dataMost)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(data, &keys); err != nil {
		return e, fmt.Errorf("not a JSON object: %w", err)
	}
	var d Data
	if _, is := keys["serviceType"]; is {
		var err error
		if d, err = fromCurator(data); err != nil {
			return e, err
		}
	} else if err := json.Unmarshal(data, &d); err != nil {
		return e, oneLine(err)
	}
	if given, ok := keys["share"]; d.Share == 0 && (!ok || string(given) == "null") {
		d.Share = 1
	}
	_, port, err := net.SplitHostPort(d.Address)
	n, portErr := strconv.Atoi(port)
	switch {
	case err != nil || portErr != nil || n < 1 || n > 65535:
		return e, fmt.Errorf("address: %q is not host:port", d.Address)
	case d.Site != "" && !slices.Contains(rules.Sites, d.Site):
		return e, fmt.Errorf("site: %q is not in fleet.sites", d.Site)
	case d.Kind != "" && !slices.Contains(rules.Kinds, d.Kind):
		return e, fmt.Errorf("kind: %q is not in fleet.kinds", d.Kind)
	case d.Block < 0 || d.Block >= 1<<16:
		return e, fmt.Errorf("block: %d is not in 0 to %d", d.Block, 1<<16-1)
	case !(d.Share > 0 && d.Share <= shareMost):
		return e, fmt.Errorf("share: %v is not over 0 and up to %v", d.Share, float64(shareMost))
	case d.StartedMS < 0 || d.StartedMS > time.Now().Add(time.Hour).UnixMilli():
		return e, fmt.Errorf("started_ms: %d is not a time that has been", d.StartedMS)
	}
	e.Host = engine.Host{Name: node, Address: d.Address, Site: d.Site, Kind: d.Kind, Cell: uint16(d.Block), Weight: float32(d.Share),
		StartedMS: d.StartedMS}
	if d.Draining {
		e.Host.State = balancer.Draining
	}
	return e, nil
}

// fromCurator takes address and port from the instance, and all else from a payload
// in our own form, where there is one. The time of registration is not that of the
// start: a session that expired registers anew.
func fromCurator(data []byte) (Data, error) {
	var c curator
	var d Data
	if err := json.Unmarshal(data, &c); err != nil {
		return d, oneLine(err)
	}
	if len(c.Payload) > 0 && c.Payload[0] == '{' {
		if err := json.Unmarshal(c.Payload, &d); err != nil {
			return d, fmt.Errorf("payload: %w", oneLine(err))
		}
	}
	if c.Port == nil {
		return d, errors.New("port: is missing")
	}
	if c.Address == "" {
		return d, errors.New("address: is missing")
	}
	d.Address = net.JoinHostPort(c.Address, strconv.Itoa(*c.Port))
	d.Draining = d.Draining || c.Enabled != nil && !*c.Enabled
	return d, nil
}

func oneLine(err error) error { return errors.New(strings.ReplaceAll(err.Error(), "\n", " ")) }
