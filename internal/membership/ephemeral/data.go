package ephemeral

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// Bounds of a node's name and data.
const (
	maxNameBytes  = 256
	maxDataBytes  = 16 << 10 // a few hundred are usual
	maxCell       = math.MaxUint16
	maxWeight     = 1e6
	maxPort       = math.MaxUint16
	maxClockAhead = time.Hour // how far a start time may be in the future
	defaultWeight = 1
)

// DataError reports an invalid value in node data.
type DataError struct {
	Key    string // in the JSON form
	Reason string
}

// Error names the key and the reason.
func (e *DataError) Error() string { return e.Key + ": " + e.Reason }

// Rules are the values that node data may contain.
type Rules struct {
	Sites []string // the known sites
	Kinds []string // the known kinds of machine
}

// Data is a node's data in pinedale's native form.
type Data struct {
	Address   string  `json:"address"` // host:port
	Site      string  `json:"site,omitempty"`
	Kind      string  `json:"kind,omitempty"`       // of machine
	Cell      int     `json:"block,omitempty"`      // the pod
	Weight    float64 `json:"share,omitempty"`      // relative share of requests; defaultWeight if missing
	StartedMS int64   `json:"started_ms,omitempty"` // start time of the process in Unix milliseconds
	Draining  bool    `json:"draining,omitempty"`   // the endpoint takes no new requests
}

// Parse decodes and validates a node's data, in pinedale's native form or Curator's. Error messages
// are a single line. An invalid value is a *DataError.
func Parse(node string, data []byte, rules Rules) (engine.Host, error) {
	if len(node) == 0 || len(node) > maxNameBytes {
		return engine.Host{},
			fmt.Errorf("the node's name has %d characters, must be 1 to %d", len(node), maxNameBytes)
	}
	if len(data) > maxDataBytes {
		return engine.Host{}, fmt.Errorf("node data has %d bytes, must be at most %d", len(data), maxDataBytes)
	}
	decoded, err := decode(data)
	if err != nil {
		return engine.Host{}, err
	}
	if err := decoded.validate(rules); err != nil {
		return engine.Host{}, err
	}
	return decoded.host(node), nil
}

// host returns the endpoint of a node with this data.
func (d *Data) host(name string) engine.Host {
	state := balancer.Ready
	if d.Draining {
		state = balancer.Draining
	}
	return engine.Host{
		Name:      name,
		Address:   d.Address,
		Site:      d.Site,
		Kind:      d.Kind,
		Cell:      uint16(d.Cell),
		State:     state,
		Weight:    float32(d.Weight),
		StartedMS: d.StartedMS,
	}
}

// decode decodes either form of node data, and sets the weight if it is missing.
func decode(data []byte) (Data, error) {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(data, &keys); err != nil {
		return Data{}, fmt.Errorf("not a JSON object: %w", err)
	}
	decodeForm := decodeNative
	if _, isCurator := keys["serviceType"]; isCurator {
		decodeForm = decodeCurator
	}
	decoded, err := decodeForm(data)
	if err != nil {
		return Data{}, err
	}
	share, present := keys["share"]
	if decoded.Weight == 0 && (!present || string(share) == "null") {
		decoded.Weight = defaultWeight
	}
	return decoded, nil
}

// decodeNative decodes pinedale's native form of node data.
func decodeNative(data []byte) (Data, error) {
	var decoded Data
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Data{}, singleLine(err)
	}
	return decoded, nil
}

// validate returns a *DataError for the first invalid value.
func (d *Data) validate(rules Rules) error {
	latestStart := time.Now().Add(maxClockAhead).UnixMilli()
	switch {
	case !isHostPort(d.Address):
		return &DataError{"address", fmt.Sprintf("%q is not host:port", d.Address)}
	case d.Site != "" && !slices.Contains(rules.Sites, d.Site):
		return &DataError{"site", fmt.Sprintf("%q is not in fleet.sites", d.Site)}
	case d.Kind != "" && !slices.Contains(rules.Kinds, d.Kind):
		return &DataError{"kind", fmt.Sprintf("%q is not in fleet.kinds", d.Kind)}
	case d.Cell < 0 || d.Cell > maxCell:
		return &DataError{"block", fmt.Sprintf("%d is not in 0 to %d", d.Cell, maxCell)}
	case !(d.Weight > 0 && d.Weight <= maxWeight): // also rejects NaN
		return &DataError{"share", fmt.Sprintf("%v is not over 0 and up to %v", d.Weight, float64(maxWeight))}
	case d.StartedMS < 0 || d.StartedMS > latestStart:
		return &DataError{"started_ms", fmt.Sprintf("%d is not a time that has been", d.StartedMS)}
	}
	return nil
}

// isHostPort reports whether address has the form host:port with a port number.
func isHostPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 1 && number <= maxPort
}

// singleLine returns an error with the text of err on a single line.
func singleLine(err error) error { return errors.New(strings.ReplaceAll(err.Error(), "\n", " ")) }
