package coldstart

import "testing"

// Several hundred instances with few requests each must not overload servers that have just started, with any seed. The
// command newcomer simulates 5,000 instances. Time is virtual, so the figures are the same on any machine.
func TestFreshServersDoNotCollapse(t *testing.T) {
	report, err := Run(Options{Instances: 300, Servers: 30, Fresh: 3, Rate: 400, SubsetSize: 8, Seeds: 4})
	if err != nil {
		t.Fatal(err)
	}
	row := report.Rows[0]
	if row.BrokenRule != "" || row.Collapsed > 0 || len(row.Strain) != 4 || row.Strain[0] <= 0 || row.Strain[3] >= 1 ||
		row.MinScore < 0.9 {
		t.Errorf("a fresh server collapsed, or a figure is out of bounds: %+v", row)
	}
}
