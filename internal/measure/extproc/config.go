package extproc

import (
	"fmt"
	"time"
)

// The classes of the operator's file.
const (
	classPriceCheck = "price-check" // idempotent
	classStallPay   = "stall-pay"   // idempotent with a key, at any server
	classDayClose   = "day-close"   // idempotent with a key, within a pod
	classOrder      = "order"       // not idempotent
)

const (
	deadline      = 2500 * time.Millisecond
	shortDeadline = time.Second

	payWindow        = 1500 * time.Millisecond
	closeWindow      = 12 * time.Second
	shortCloseWindow = 2 * time.Second
)

const configFormat = `version = 1
name = "measured"
site = "arusha"
[http]
listen = "127.0.0.1:0"
[ext_proc]
listen = "127.0.0.1:0"
retries = "ask-again"
[limits]
attempts = %[1]d
[fleet]
sites = ["arusha", "dar"]
kinds = ["box"]
reports = ["eps", "queue"]
warm_within = "0s"
[discovery]
address = %[2]q
[[class]]
name = "price-check"
repeat = "safe"
aim = "600ms"
deadline = %[3]q
worth = 2
[[class]]
name = "stall-pay"
repeat = "keyed"
group = "all"
window = %[4]q
aim = "600ms"
deadline = %[3]q
worth = 10
[[class]]
name = "day-close"
repeat = "keyed"
group = "pod"
window = %[5]q
aim = "1s"
deadline = %[3]q
worth = 3
[[class]]
name = "order"
repeat = "unsafe"
aim = "600ms"
deadline = %[3]q
`

// configText returns the operator's file of an instance that gets its servers from the discovery service at an address.
// If short is true, windows and deadlines are so short that the instance evicts requests within seconds.
func configText(discovery string, short bool, maxAttempts int) string {
	classDeadline, window := deadline, closeWindow
	if short {
		classDeadline, window = shortDeadline, shortCloseWindow
	}
	return fmt.Sprintf(configFormat,
		maxAttempts, discovery, classDeadline.String(), payWindow.String(), window.String())
}
