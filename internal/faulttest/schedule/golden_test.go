package schedule

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// Guards against a change of the draws: a seed named in a report or a stored history must give the same schedule in
// later versions.
func TestDrawKeepsScheduleOfEachSeed(t *testing.T) {
	const want = "3417323246b0512ee57d56e1b16205707b82306a9d2d7c4057de7918ae443844"
	hash := sha256.New()
	encoder := json.NewEncoder(hash)
	for seed := range uint64(20_000) {
		instances, servers := 3+int(seed%22), 2+int(seed%47)
		length := time.Duration(1+seed%600) * time.Second
		if err := encoder.Encode(Draw(seed, instances, servers, length)); err != nil {
			t.Fatal(err)
		}
	}
	if got := fmt.Sprintf("%x", hash.Sum(nil)); got != want {
		t.Errorf("the schedules of 20,000 seeds hash to %s, want %s", got, want)
	}
}
