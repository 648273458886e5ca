package validate

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/internal/standin/ca"
	_ "pinedale/internal/standin/seeds"
)

// A transient fault is pending for SettleTime without a report. After that it is reported once.
func TestPartialChangeIsPendingThenRejectedOnce(t *testing.T) {
	root := ca.New(t, "root")
	old := root.Issue(ca.Spec{Names: []string{testName}})
	next := root.Issue(ca.Spec{Names: []string{testName}})
	partial := files(next, root.PEM())
	partial.Key = configured(old.Key)
	rotation := NewRotation(serverRequirements(), time.Minute)
	if decision := rotation.Offer(noon, files(old, root.PEM())); decision.Action != Accepted {
		t.Fatalf("first offer: %+v, want Accepted", decision)
	}
	changedAt := noon.Add(time.Minute)
	decision := rotation.Offer(changedAt, partial)
	if decision.Action != Pending || decision.Report || !decision.RecheckAt.Equal(changedAt.Add(SettleTime)) {
		t.Errorf("new certificate with the old key: %+v, want Pending without a report", decision)
	}
	decision = rotation.Offer(changedAt.Add(SettleTime/2), files(next, root.PEM()))
	if decision.Action != Accepted || !decision.Report {
		t.Errorf("new certificate with its key: %+v, want Accepted with a report", decision)
	}
	changedAt = changedAt.Add(time.Hour)
	partial = files(old, root.PEM())
	partial.Key = configured(next.Key[:50])
	rotation.Offer(changedAt, partial)
	partial.Key = configured(next.Key) // a second transient fault belongs to the same change
	for i, want := range []Decision{{Action: Pending}, {Action: Rejected, Report: true}, {Action: Rejected}} {
		decision := rotation.Offer(changedAt.Add(time.Duration(i)*SettleTime+SettleTime/2), partial)
		if decision.Action != want.Action || decision.Report != want.Report || decision.Fault.Rule != KeyMismatch {
			t.Errorf("offer %d: %+v, want %+v", i, decision, want)
		}
	}
	if decision := rotation.Offer(changedAt.Add(time.Hour), files(next, root.PEM())); decision.Action != Unchanged {
		t.Errorf("offer of the files in use: %+v, want Unchanged", decision)
	}
	if material, generation := rotation.Serving(); generation != 2 || !material.Leaf().Equal(next.Leaf) {
		t.Errorf("generation %d is in use, want 2 with the new certificate", generation)
	}
}

// A certificate that is not valid yet is accepted when it becomes valid, without a change of its file. While the clock
// is set back, the previous material remains in use.
func TestNotYetValidIsAcceptedOnceValid(t *testing.T) {
	root := ca.New(t, "root")
	rotation := NewRotation(serverRequirements(), time.Minute)
	rotation.Offer(noon, files(root.Issue(ca.Spec{Names: []string{testName}}), root.PEM()))
	early := files(root.Issue(ca.Spec{Names: []string{testName}, NotBefore: noon.Add(time.Hour)}), root.PEM())
	decision := rotation.Offer(noon, early)
	if decision.Action != Pending || !decision.Report || !decision.RecheckAt.Equal(noon.Add(time.Hour)) {
		t.Errorf("first offer before the validity: %+v, want Pending with a report", decision)
	}
	if decision := rotation.Offer(noon.Add(time.Minute), early); decision.Action != Pending || decision.Report {
		t.Errorf("second offer before the validity: %+v, want Pending without a report", decision)
	}
	if decision := rotation.Offer(noon.Add(-48*time.Hour), early); decision.Action != Pending {
		t.Errorf("offer after the clock was set back: %+v, want Pending", decision)
	}
	if _, generation := rotation.Serving(); generation != 1 {
		t.Errorf("generation %d is in use, want 1", generation)
	}
	if decision := rotation.Offer(noon.Add(time.Hour), early); decision.Action != Accepted {
		t.Errorf("offer at the start of the validity: %+v, want Accepted", decision)
	}
}

// Certificates, keys and roots are replaced in any order, truncated and restored while the clock jumps. Material in use
// was valid when it was accepted, is never a partial change, and is replaced by any valid set at once.
func TestOfferNeverServesInvalidMaterial(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	var pairs []*ca.Pair
	for i := range 4 {
		validFrom := noon.Add(time.Duration(i-1) * time.Hour)
		pairs = append(pairs, root.Issue(ca.Spec{Names: []string{testName}, NotBefore: validFrom}))
	}
	pairs = append(pairs, other.Issue(ca.Spec{Names: []string{testName}}))
	pairs = append(pairs, root.Issue(ca.Spec{Names: []string{"elsewhere"}}))
	rapid.Check(t, func(t *rapid.T) {
		rotation := NewRotation(serverRequirements(), time.Minute)
		change := &randomChange{
			t:     t,
			pairs: pairs,
			roots: [][]byte{root.PEM(), other.PEM()},
			now:   noon,
			files: files(pairs[0], root.PEM()),
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			change.step()
			checkOffer(t, rotation, change.now, change.files)
		}
	})
}

// randomChange applies random changes to the files and the clock.
type randomChange struct {
	t     *rapid.T
	pairs []*ca.Pair
	roots [][]byte
	now   time.Time
	files Files
}

// step applies one change.
func (c *randomChange) step() {
	t := c.t
	pair := c.pairs[rapid.IntRange(0, len(c.pairs)-1).Draw(t, "pair")]
	switch rapid.IntRange(0, 7).Draw(t, "change") {
	case 0, 1:
		c.files.Cert = configured(pair.Cert)
	case 2, 3:
		c.files.Key = configured(pair.Key)
	case 4:
		c.files.Cert.Data = pair.Cert[:rapid.IntRange(0, len(pair.Cert)).Draw(t, "cut")]
	case 5:
		c.files.Key = File{Configured: true, Err: errors.New("gone")}
	case 6:
		first := rapid.IntRange(0, 1).Draw(t, "roots")
		c.files.Roots = configured(bytes.Join(c.roots[first:], nil))
	case 7:
		jump := rapid.Int64Range(-int64(2*time.Hour), int64(3*time.Hour)).Draw(t, "clock")
		c.now = c.now.Add(time.Duration(jump))
	}
}

// checkOffer offers files and checks the decision and the material in use.
func checkOffer(t *rapid.T, rotation *Rotation, now time.Time, input Files) {
	before, generationBefore := rotation.Serving()
	material, fault := Parse(input)
	valid := fault == nil && material.CheckIdentity(now, serverRequirements()) == nil
	decision := rotation.Offer(now, input)
	after, generationAfter := rotation.Serving()
	switch {
	case valid && material.Equal(before):
		if decision.Action != Unchanged || generationAfter != generationBefore {
			t.Fatalf("unchanged files: %+v, want Unchanged", decision)
		}
	case valid:
		if decision.Action != Accepted || !after.Equal(material) || generationAfter != generationBefore+1 {
			t.Fatalf("valid files: %+v, want Accepted and the next generation", decision)
		}
	default:
		if after != before || decision.Action == Accepted ||
			decision.Action == Pending && !decision.RecheckAt.After(now) {
			t.Fatalf("files that violate a rule: %+v, want Rejected or Pending with a later recheck", decision)
		}
		if decision.Action != Unchanged && decision.Fault == nil {
			t.Fatalf("decision without a fault: %+v", decision)
		}
	}
}
