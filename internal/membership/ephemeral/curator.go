package ephemeral

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
)

// curator is the part that is read of the node data that Apache Curator's service
// discovery writes (ServiceInstance).
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

// decodeCurator takes address and port from the instance, and all else from a payload in
// pinedale's own form, if there is one. The registration time is not used: it is not the
// start time, as a server whose session expired registers anew.
func decodeCurator(data []byte) (Data, error) {
	var instance curator
	if err := json.Unmarshal(data, &instance); err != nil {
		return Data{}, singleLine(err)
	}
	var decoded Data
	if len(instance.Payload) > 0 && instance.Payload[0] == '{' {
		if err := json.Unmarshal(instance.Payload, &decoded); err != nil {
			return Data{}, fmt.Errorf("payload: %w", singleLine(err))
		}
	}
	if instance.Port == nil {
		return Data{}, errors.New("port: is missing")
	}
	if instance.Address == "" {
		return Data{}, errors.New("address: is missing")
	}
	decoded.Address = net.JoinHostPort(instance.Address, strconv.Itoa(*instance.Port))
	decoded.Draining = decoded.Draining || instance.Enabled != nil && !*instance.Enabled
	return decoded, nil
}
