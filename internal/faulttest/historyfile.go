package faulttest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"pinedale/internal/faulttest/history"
)

// ErrNoSchedule is wrapped by the error of ReadHistory for a JSON file that is not a history.
var ErrNoSchedule = errors.New("the file contains no schedule")

// WriteHistory writes a history to a file, as JSON.
func WriteHistory(path string, h *history.History) error {
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// ReadHistory reads a file written by WriteHistory. Its error wraps a *tomlfile.Error if the schedule is invalid.
func ReadHistory(path string) (*history.History, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	read := &history.History{}
	if err := json.Unmarshal(data, read); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if read.Schedule == nil {
		return nil, fmt.Errorf("%s: %w", path, ErrNoSchedule)
	}
	if err := read.Schedule.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return read, nil
}
