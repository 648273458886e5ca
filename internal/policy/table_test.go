package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
)

// firstReload and secondReload return two versions of a file. In the second one a class is removed, one is changed and
// one is added, and tenants and pools are replaced.
func firstReload() *Config {
	config := validConfig()
	config.Classes[classPay].RetryRatio = ptr(0.5)
	config.Tenants = []Tenant{{Name: "x", Weight: 1}, {Name: "y", Weight: 1}}
	config.Pools = []Pool{{Name: "p", Kinds: []string{"big"}}, {Name: "q", Sites: []string{"dar"}}}
	return config
}

func secondReload() *Config {
	config := validConfig()
	config.Classes = slices.Delete(config.Classes, classPrices, classPrices+1)
	config.Classes[0].DedupWindow = 2 * time.Second
	config.Classes[0].RetryRatio = ptr(0.1)
	config.Classes = append(config.Classes, Class{
		Name:             "new",
		Timing:           Timing{Deadline: time.Second, RetryBurst: ptr(3.0)},
		LatencyObjective: 500 * ms,
	})
	config.Tenants = []Tenant{{Name: "z", Weight: 1}, {Name: "y", Weight: 2}}
	config.Pools = []Pool{{Name: "q", Sites: []string{"arusha"}}}
	return config
}

// Classes, budgets, tenants and pools keep their numbers when files are reloaded.
func TestNumbersRemainAcrossReloads(t *testing.T) {
	first, _ := Compile(firstReload(), nil)
	second, compileFaults := Compile(secondReload(), first)
	if second == nil {
		t.Fatal(compileFaults)
	}
	var names []string
	for _, class := range second.Classes() {
		names = append(names, fmt.Sprint(class.Name, class.Retired))
	}
	want := []string{"price-checktrue", "stall-paytrue", "day-closefalse", "orderfalse", "stall-payfalse", "newfalse"}
	if !slices.Equal(names, want) {
		t.Errorf("classes %v, want %v", names, want)
	}
	wantBudgets := []balancer.RetryBudget{{EarnRatio: 0.1, Burst: 10}, {EarnRatio: 0.2, Burst: 3}}
	if !slices.Equal(second.Budgets(), wantBudgets) {
		t.Errorf("budgets %v, want %v", second.Budgets(), wantBudgets)
	}
	if number, _ := second.Tenant("y"); number != 1 {
		t.Errorf("tenant y has number %d", number)
	}
	if _, ok := second.Tenant("x"); ok {
		t.Error("tenant x is still known")
	}
	if got := second.Pools("arusha", "big"); got != 2 {
		t.Errorf("pools %b of a server, want the second bit", got)
	}
	third, _ := Compile(firstReload(), second)
	if third.Classes()[0].Retired || len(third.Classes()) != 6 {
		t.Errorf("classes of the first file after the second: %v", third.Classes())
	}
}

// A file is rejected if its classes and those of earlier files are more than the decision module can number.
func TestTooManyClassesAfterReloadsAreRejected(t *testing.T) {
	previous, _ := Compile(firstReload(), nil)
	for i := range 300 {
		config := validConfig()
		config.Classes[0].LatencyObjective = time.Duration(i+1) * ms
		next, compileFaults := Compile(config, previous)
		if next == nil {
			if i < 200 || !strings.Contains(fmt.Sprint(compileFaults), "restart the process") {
				t.Errorf("rejected at file %d: %v; want no rejection before 200, and advice to restart", i, compileFaults)
			}
			return
		}
		previous = next
	}
	t.Error("300 different classes are accepted")
}
