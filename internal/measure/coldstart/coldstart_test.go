package coldstart

import "testing"

// Some hundred quiet instances together do not overload servers that have just started, whatever the seed. The command
// simulates 5,000. Virtual time: the figures are the same on any machine.
func TestFreshServersDoNotCollapse(t *testing.T) {
	report, err := Run(Options{Instances: 300, Servers: 30, Fresh: 3, Rate: 400, SubsetSize: 8, Seeds: 4})
	if err != nil {
		t.Fatal(err)
	}
	row := report.Rows[0]
	if row.BrokenRule != "" || row.Collapsed > 0 || len(row.Strain) != 4 || row.Strain[0] <= 0 || row.Strain[3] >= 1 ||
		row.MinScore < 0.9 {
		t.Errorf("%+v", row)
	}
}
