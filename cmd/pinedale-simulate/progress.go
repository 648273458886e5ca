package main

import (
	"fmt"
	"os"
	"time"
)

// progressInterval is the shortest time between two updates of the progress line.
const progressInterval = 100 * time.Millisecond

// progressFunc reports how much of a run is done.
type progressFunc func(done, total time.Duration)

// terminalProgress returns a function that shows progress on one line of a terminal and clears the line at the end. If
// out is not a terminal, the function does nothing.
func terminalProgress(out *os.File) progressFunc {
	if info, err := out.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(_, _ time.Duration) {}
	}
	var lastWritten time.Time
	return func(done, total time.Duration) {
		if done >= total {
			fmt.Fprintf(out, "\r%40s\r", "")
			return
		}
		if time.Since(lastWritten) > progressInterval {
			lastWritten = time.Now()
			fmt.Fprintf(out, "\r%v of %v", done.Round(time.Second), total)
		}
	}
}

// countProgress reports progress in units other than time. It counts each unit as a second.
func (c *commandLine) countProgress(done, total int) {
	c.progress(time.Duration(done)*time.Second, time.Duration(total)*time.Second)
}
