package faulttest

import (
	"encoding/json"
	"fmt"
	"os"

	"pinedale/internal/faulttest/history"
)

// Save writes a history to a file.
func Save(path string, h *history.History) error {
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// Read reads a history that Save has written.
func Read(path string) (*history.History, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	h := &history.History{}
	if err := json.Unmarshal(data, h); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if h.Schedule == nil {
		return nil, fmt.Errorf("%s: it has no schedule", path)
	}
	return h, h.Schedule.Validate()
}
