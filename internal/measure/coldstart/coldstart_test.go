package coldstart

import "testing"

// Some hundred quiet instances together leave servers that have just started standing, whatever the seed. The
// command plays 5,000. Virtual time: the figures are the same on any machine.
func TestNewcomersStand(t *testing.T) {
	rows, err := Run(Options{Instances: 300, Servers: 30, Fresh: 3, Rate: 400, Floor: 8, Seeds: 4})
	if err != nil {
		t.Fatal(err)
	}
	r := rows[0]
	if r.Broken != "" || r.Fell > 0 || len(r.Strain) != 4 || r.Strain[0] <= 0 || r.Strain[3] >= 1 || r.G < 0.9 {
		t.Errorf("%+v", r)
	}
}
