package drainadvisory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

func TestHeld(t *testing.T) {
	ready := []string{"s-1@0", "s-2@0", "s-3@5", "s-4@0", "s-5@0", "s-6@0"}
	say := func(life string, age time.Duration, origins ...string) (out []Report) {
		for _, o := range origins {
			out = append(out, Report{o, life, age})
		}
		return out
	}
	for name, c := range map[string]struct {
		told []Report
		want []string
	}{
		"nobody":                            {nil, nil},
		"one":                               {say("s-1@0", 0, "i-2"), nil},
		"one, over and over":                {say("s-1@0", 0, "i-2", "i-2", "i-2"), nil},
		"one and this one":                  {say("s-1@0", 0, "i-1", "i-2"), nil},
		"two":                               {say("s-1@0", 0, "i-2", "i-3"), []string{"s-1@0"}},
		"two, long ago":                     {say("s-1@0", MaxReportAge+1, "i-2", "i-3"), nil},
		"two, of a life before":             {say("s-3@0", 0, "i-2", "i-3"), nil},
		"two, of one that is not listed":    {say("s-9@0", 0, "i-2", "i-3"), nil},
		"two, of all":                       {slices.Concat(say("s-1@0", 0, "i-2", "i-3"), say("s-2@0", 0, "i-2", "i-3"), say("s-3@5", 0, "i-2", "i-3"), say("s-4@0", 0, "i-2", "i-3")), []string{"s-1@0", "s-2@0"}},
		"of too many those with most votes": {slices.Concat(say("s-1@0", 0, "i-2", "i-3"), say("s-2@0", 0, "i-2", "i-3"), say("s-6@0", 0, "i-2", "i-3", "i-4")), []string{"s-1@0", "s-6@0"}},
	} {
		if got := HeldBack("i-1", ready, c.told); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	if got := HeldBack("i-1", []string{"s-1@0", "s-2@0"}, say("s-1@0", 0, "i-2", "i-3")); len(got) > 0 {
		t.Errorf("of two servers %v is held back", got)
	}
}

// Whatever is told: what is held back is listed and has its voices, at least two thirds go on,
// and what any one instance says or does not say makes no difference where that many others
// have not said it.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ready []string
		for n := range rapid.IntRange(0, 12).Draw(t, "ready") {
			ready = append(ready, fmt.Sprint("s-", n))
		}
		var told []Report
		for range rapid.IntRange(0, 60).Draw(t, "told") {
			told = append(told, Report{fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "origin")), fmt.Sprint("s-", rapid.IntRange(0, 14).Draw(t, "server")),
				time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Second})
		}
		held := HeldBack("i-0", ready, told)
		if 3*len(held) > len(ready) {
			t.Fatalf("%d of %d are held back", len(held), len(ready))
		}
		for _, life := range held {
			says := map[string]bool{}
			for _, x := range told {
				if x.StartedMS == life && x.Origin != "i-0" && x.Age <= MaxReportAge {
					says[x.Origin] = true
				}
			}
			if !slices.Contains(ready, life) || len(says) < MinReporters {
				t.Fatalf("%s is held back on the word of %v", life, says)
			}
		}
		// One that lies alone.
		alone := slices.DeleteFunc(slices.Clone(told), func(x Report) bool { return x.Origin != "i-3" })
		if got := HeldBack("i-0", ready, alone); len(got) > 0 {
			t.Fatalf("one instance alone has %v held back", got)
		}
		shuffled := rapid.Permutation(told).Draw(t, "order")
		if got := HeldBack("i-0", ready, shuffled); !slices.Equal(got, held) {
			t.Fatalf("in another order %v, not %v", got, held)
		}
	})
}
