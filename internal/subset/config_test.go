package subset

import (
	"errors"
	"math"
	"testing"
)

func TestNewRejectsInvalidConfig(t *testing.T) {
	for _, c := range []struct {
		name   string
		config Config
		field  string
	}{
		{"no instance", Config{MinSize: 10}, "Instance"},
		{"size without a second server", Config{Instance: "a", MinSize: 1}, "MinSize"},
		{"negative growth", Config{Instance: "a", MinSize: 10, PerInFlight: -1}, "PerInFlight"},
		{"growth not a number", Config{Instance: "a", MinSize: 10, PerInFlight: math.NaN()}, "PerInFlight"},
	} {
		_, err := New(c.config)
		var invalid *ConfigError
		if !errors.As(err, &invalid) || invalid.Field != c.field {
			t.Errorf("%s: error %v, want one of field %s", c.name, err, c.field)
		}
	}
}
