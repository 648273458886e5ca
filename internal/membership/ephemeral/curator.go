package ephemeral

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
)

// curatorInstance is the part of Apache Curator's node data (ServiceInstance) whose form is
// checked. Only Address, Port, Payload and Enabled are used.
type curatorInstance struct {
	Name         string          `json:"name"`
	ID           string          `json:"id"`
	Address      string          `json:"address"`
	Port         *int            `json:"port"`
	Payload      json.RawMessage `json:"payload"`
	Registration int64           `json:"registrationTimeUTC"`
	ServiceType  string          `json:"serviceType"`
	Enabled      *bool           `json:"enabled"`
}

// decodeCurator decodes the data that Apache Curator's service discovery writes. The address and
// port are those of the instance, and an instance that is not enabled is draining. All other values
// are those of the payload, if it has pinedale's native form. The registration time is not used as
// the start time, since a server whose session expired registers again.
func decodeCurator(data []byte) (Data, error) {
	var instance curatorInstance
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
		return Data{}, &DataError{Key: "port", Reason: "is missing"}
	}
	if instance.Address == "" {
		return Data{}, &DataError{Key: "address", Reason: "is missing"}
	}
	decoded.Address = net.JoinHostPort(instance.Address, strconv.Itoa(*instance.Port))
	if instance.Enabled != nil && !*instance.Enabled {
		decoded.Draining = true
	}
	return decoded, nil
}
