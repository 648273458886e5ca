package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
)

// Numbers of classes, budgets, tenants and pools stay what they are over reloads.
func TestNumbersStayAcrossReloads(t *testing.T) {
	a := marketConfig()
	a.Classes[classPay].RetryRatio = ptr(0.5)
	a.Tenants = []Tenant{{Name: "x", Weight: 1}, {Name: "y", Weight: 1}}
	a.Pools = []Pool{{Name: "p", Kinds: []string{"big"}}, {Name: "q", Sites: []string{"dar"}}}
	first, _ := Compile(a, nil)
	b := marketConfig()
	b.Classes = slices.Delete(b.Classes, classPrices, classPrices+1) // one is removed
	b.Classes[0].DedupWindow = 2 * time.Second                       // one is changed
	b.Classes = append(b.Classes, Class{
		Name:             "new",
		Timing:           Timing{Deadline: time.Second, RetryBurst: ptr(3.0)},
		LatencyObjective: 500 * ms,
	})
	b.Classes[0].RetryRatio = ptr(0.1)
	b.Tenants = []Tenant{{Name: "z", Weight: 1}, {Name: "y", Weight: 2}}
	b.Pools = []Pool{{Name: "q", Sites: []string{"arusha"}}}
	second, all := Compile(b, first)
	if second == nil {
		t.Fatal(all)
	}
	var names []string
	for _, k := range second.Classes() {
		names = append(names, fmt.Sprint(k.Name, k.Retired))
	}
	want := []string{"price-checktrue", "stall-paytrue", "day-closefalse", "orderfalse", "stall-payfalse", "newfalse"}
	if !slices.Equal(names, want) {
		t.Errorf("classes %v, want %v", names, want)
	}
	if !slices.Equal(second.Budgets(), []balancer.RetryBudget{{EarnRatio: 0.1, Burst: 10}, {EarnRatio: 0.2, Burst: 3}}) {
		t.Errorf("budgets %v", second.Budgets())
	}
	if n, _ := second.Tenant("y"); n != 1 {
		t.Errorf("tenant y has number %d", n)
	}
	if _, ok := second.Tenant("x"); ok {
		t.Error("tenant x is still known")
	}
	if got := second.Pools("arusha", "big"); got != 2 {
		t.Errorf("pools %b of a server, want the second bit", got)
	}
	if back, _ := Compile(a, second); back.Classes()[0].Retired || len(back.Classes()) != 6 {
		t.Errorf("the first file again: %v", back.Classes())
	}
	// There can be no more classes than the module can number.
	last := first
	for i := range 300 {
		c := marketConfig()
		c.Classes[0].LatencyObjective = time.Duration(i+1) * ms
		next, all := Compile(c, last)
		if next == nil {
			if i < 200 || !strings.Contains(fmt.Sprint(all), "start anew") {
				t.Errorf("file %d: %v", i, all)
			}
			return
		}
		last = next
	}
	t.Error("300 different classes are accepted")
}
