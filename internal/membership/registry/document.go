package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// document is the JSON form of an endpoint list, or of changes to one.
type document struct {
	Version  uint64 `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    hosts  `json:"hosts"`
}

// hostsPerYield is how many entries of a document are decoded before the goroutine yields the processor.
const hostsPerYield = 32

// hosts are the entries of a document. Decoding a long list yields the processor regularly, so that it does
// not delay other goroutines on a machine with a single processor.
type hosts []host

// UnmarshalJSON decodes an array of entries.
func (h *hosts) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	*h = nil
	decoder := json.NewDecoder(bytes.NewReader(data))
	if token, err := decoder.Token(); err != nil {
		return err
	} else if token != json.Delim('[') {
		return fmt.Errorf("hosts: %v is not an array", token)
	}
	for decoder.More() {
		if len(*h)%hostsPerYield == hostsPerYield-1 {
			runtime.Gosched()
		}
		var next host
		if err := decoder.Decode(&next); err != nil {
			return err
		}
		*h = append(*h, next)
	}
	return nil
}

// host is the JSON form of one endpoint.
type host struct {
	Name      string  `json:"host"`
	Address   string  `json:"dial"`
	Site      string  `json:"site"`
	Kind      string  `json:"class"`
	Cell      uint16  `json:"block"`
	State     string  `json:"health"`
	Weight    float32 `json:"share"`
	StartedMS int64   `json:"born_ms"`
}

// statesByName maps the names of states in a document.
var statesByName = map[string]balancer.State{
	"Ready":       balancer.Ready,
	"Terminating": balancer.Draining,
	"Gone":        balancer.Removed,
}

// Parse decodes and validates a document. Its errors name the invalid entry and key.
func Parse(data []byte) (engine.List, error) {
	var parsed document
	if err := json.Unmarshal(data, &parsed); err != nil {
		return engine.List{}, err
	}
	list := engine.List{
		Version:  parsed.Version,
		Complete: parsed.Complete,
		Hosts:    make([]engine.Host, len(parsed.Hosts)),
	}
	for i := range parsed.Hosts {
		encoded := &parsed.Hosts[i]
		state, ok := statesByName[encoded.State]
		if !ok {
			return engine.List{}, fmt.Errorf("hosts[%d].health: %q is not a known state", i, encoded.State)
		}
		list.Hosts[i] = encoded.convert(state)
	}
	return list, list.Validate()
}

// convert returns the endpoint in the engine's form.
func (h *host) convert(state balancer.State) engine.Host {
	return engine.Host{
		Name:      h.Name,
		Address:   h.Address,
		Site:      h.Site,
		Kind:      h.Kind,
		Cell:      h.Cell,
		State:     state,
		Weight:    h.Weight,
		StartedMS: h.StartedMS,
	}
}
