package logcapture

import (
	"sync"
	"testing"
)

func TestBufferFindsWhatIsLogged(t *testing.T) {
	var buffer Buffer
	logger := buffer.Logger()
	logger.Info("listening", "http", "127.0.0.1:1", "ext_proc", "127.0.0.1:2")
	logger.Warn("listening")
	if n := buffer.Count("msg=listening"); n != 2 {
		t.Errorf("%d lines, want 2: %s", n, buffer.String())
	}
	match := buffer.Find(`http=(\S+) ext_proc=(\S+)`)
	if len(match) != 3 || match[1] != "127.0.0.1:1" || match[2] != "127.0.0.1:2" {
		t.Errorf("match %q, want both addresses", match)
	}
	if match := buffer.Find("ended"); match != nil {
		t.Errorf("match %q of text that was not logged", match)
	}
}

func TestBufferIsReadWhileItIsWritten(t *testing.T) {
	var buffer Buffer
	var writing sync.WaitGroup
	for range 8 {
		writing.Go(func() {
			for range 100 {
				buffer.Logger().Info("line")
				buffer.Count("line")
			}
		})
	}
	writing.Wait()
	if n := buffer.Count("msg=line\n"); n != 800 {
		t.Errorf("%d lines, want 800", n)
	}
}
