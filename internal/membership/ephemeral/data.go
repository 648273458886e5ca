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

// The bounds of a node's name and data.
const (
	maxNameBytes  = 256
	maxDataBytes  = 16 << 10 // a few hundred are usual
	maxBlock      = 1<<16 - 1
	maxShare      = 1e6
	maxClockAhead = time.Hour // by which a start time may be in the future
	defaultShare  = 1
)

// Rules are what node data must keep to.
type Rules struct {
	Sites []string // the known sites
	Kinds []string // the known kinds of machine
}

// Data is a node's data in pinedale's own form.
type Data struct {
	Address   string  `json:"address"` // host:port
	Site      string  `json:"site,omitempty"`
	Kind      string  `json:"kind,omitempty"`       // of machine
	Cell      int     `json:"block,omitempty"`      // the pod
	Weight    float64 `json:"share,omitempty"`      // weight of its share of requests; 1 if missing
	StartedMS int64   `json:"started_ms,omitempty"` // when the process started, Unix time in milliseconds
	Draining  bool    `json:"draining,omitempty"`   // it takes no new requests
}

// Parse reads a node's data, in pinedale's own form or Curator's. Its errors name the key
// and the reason, in one line.
func Parse(node string, data []byte, rules Rules) (reconcile.Entry, error) {
	if len(node) == 0 || len(node) > maxNameBytes {
		return reconcile.Entry{}, fmt.Errorf("the node's name has %d characters, must be 1 to %d", len(node), maxNameBytes)
	}
	if len(data) > maxDataBytes {
		return reconcile.Entry{}, fmt.Errorf("%d bytes, at most %d", len(data), maxDataBytes)
	}
	decoded, err := decode(data)
	if err != nil {
		return reconcile.Entry{}, err
	}
	if err := decoded.validate(rules); err != nil {
		return reconcile.Entry{}, err
	}
	entry := reconcile.Entry{Host: engine.Host{
		Name:      node,
		Address:   decoded.Address,
		Site:      decoded.Site,
		Kind:      decoded.Kind,
		Cell:      uint16(decoded.Cell),
		Weight:    float32(decoded.Weight),
		StartedMS: decoded.StartedMS,
	}}
	if decoded.Draining {
		entry.Host.State = balancer.Draining
	}
	return entry, nil
}

// decode reads either form of node data, and fills in the share if it is missing.
func decode(data []byte) (Data, error) {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(data, &keys); err != nil {
		return Data{}, fmt.Errorf("not a JSON object: %w", err)
	}
	var decoded Data
	var err error
	if _, isCurator := keys["serviceType"]; isCurator {
		decoded, err = decodeCurator(data)
	} else if err = json.Unmarshal(data, &decoded); err != nil {
		err = singleLine(err)
	}
	if err != nil {
		return Data{}, err
	}
	share, given := keys["share"]
	if decoded.Weight == 0 && (!given || string(share) == "null") {
		decoded.Weight = defaultShare
	}
	return decoded, nil
}

// validate checks each value.
func (d *Data) validate(rules Rules) error {
	latestStart := time.Now().Add(maxClockAhead).UnixMilli()
	switch {
	case !isHostPort(d.Address):
		return fmt.Errorf("address: %q is not host:port", d.Address)
	case d.Site != "" && !slices.Contains(rules.Sites, d.Site):
		return fmt.Errorf("site: %q is not in fleet.sites", d.Site)
	case d.Kind != "" && !slices.Contains(rules.Kinds, d.Kind):
		return fmt.Errorf("kind: %q is not in fleet.kinds", d.Kind)
	case d.Cell < 0 || d.Cell > maxBlock:
		return fmt.Errorf("block: %d is not in 0 to %d", d.Cell, maxBlock)
	case !(d.Weight > 0 && d.Weight <= maxShare): // so that NaN fails, too
		return fmt.Errorf("share: %v is not over 0 and up to %v", d.Weight, float64(maxShare))
	case d.StartedMS < 0 || d.StartedMS > latestStart:
		return fmt.Errorf("started_ms: %d is not a time that has been", d.StartedMS)
	}
	return nil
}

// isHostPort reports whether an address is a host and a port number.
func isHostPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 1 && number <= 65535
}

// singleLine returns an error's text in one line.
func singleLine(err error) error { return errors.New(strings.ReplaceAll(err.Error(), "\n", " ")) }
