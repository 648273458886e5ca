package validate

import (
	"fmt"
	"time"
)

// Rule is one of the validation rules listed in the package comment.
type Rule uint8

// Rules, in the order in which they are checked.
const (
	Unreadable Rule = iota + 1
	Incomplete
	KeyMismatch
	Weak
	WrongName
	WrongUsage
	NotYetValid
	Expired
	Untrusted
	Revoked
)

// ruleNames are the names in logs and counters. Dashboards refer to them, so they never change.
var ruleNames = [...]string{
	Unreadable:  "unreadable",
	Incomplete:  "incomplete",
	KeyMismatch: "mismatch",
	Weak:        "weak",
	WrongName:   "names",
	WrongUsage:  "usage",
	NotYetValid: "early",
	Expired:     "over",
	Untrusted:   "chain",
	Revoked:     "revoked",
}

// String returns the name of the rule in logs and counters.
func (r Rule) String() string { return ruleNames[r] }

// Values of Fault.File.
const (
	certFile    = "cert"
	keyFile     = "key"
	rootsFile   = "roots"
	revokedFile = "revoked"
	peerChain   = "peer" // not a file: the chain that a peer presented
)

// Fault is the error of a violated rule. It never contains private key material.
type Fault struct {
	Rule      Rule
	File      string    // "cert", "key", "roots" or "revoked"; "peer" for a chain that a peer presented
	Reason    string    // for operators
	ValidFrom time.Time // start of the validity, for NotYetValid
}

// Error returns rule, file and reason.
func (f *Fault) Error() string { return fmt.Sprintf("%s: %s: %s", f.Rule, f.File, f.Reason) }

// transient reports whether the fault may be due to a replacement of files that is not complete yet.
func (f *Fault) transient() bool { return f.Rule <= KeyMismatch }
