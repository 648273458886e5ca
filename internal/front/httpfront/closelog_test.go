package httpfront

import (
	"log/slog"
	"strings"
	"testing"

	"pinedale/internal/standin/logcapture"
)

func TestClosesAreLoggedOncePerIntervalAndReason(t *testing.T) {
	var text logcapture.Buffer
	closes := closeLog{log: slog.New(slog.NewTextHandler(&text, nil))}
	for range 100 {
		closes.add(closedDisconnected, "9b")
		closes.add(closedAtLimit, "")
	}
	if lines := strings.Count(text.String(), "\n"); lines != 2 {
		t.Errorf("%d log lines, want one for each reason:\n%s", lines, text.String())
	}
	if !strings.Contains(text.String(), `reason="client disconnected before its response" request=9b count=1`) {
		t.Errorf("no line with reason and request:\n%s", text.String())
	}
	closes.counts[closedAtLimit] = closeCount{count: closes.counts[closedAtLimit].count}
	closes.add(closedAtLimit, "")
	if !strings.Contains(text.String(), "count=100") {
		t.Errorf("the closes between two lines are not counted:\n%s", text.String())
	}
}
