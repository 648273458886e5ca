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

// A transient fault is pending without a report for SettleTime; a lasting fault is reported once.
func TestPartialChangeIsPendingThenRejectedOnce(t *testing.T) {
	root := ca.New(t, "root")
	old, next := root.Issue(ca.Spec{Names: []string{testName}}), root.Issue(ca.Spec{Names: []string{testName}})
	partial := files(next, root.PEM())
	partial.Key = configured(old.Key)
	rotation := NewRotation(serverWant(), time.Minute)
	if decision := rotation.Offer(noon, files(old, root.PEM())); decision.Action != Accepted {
		t.Fatalf("the first offer: %+v", decision)
	}
	changedAt := noon.Add(time.Minute)
	decision := rotation.Offer(changedAt, partial)
	if decision.Action != Pending || decision.Report || !decision.RecheckAt.Equal(changedAt.Add(SettleTime)) {
		t.Errorf("the certificate alone: %+v", decision)
	}
	decision = rotation.Offer(changedAt.Add(SettleTime/2), files(next, root.PEM()))
	if decision.Action != Accepted || !decision.Report {
		t.Errorf("both: %+v", decision)
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
		t.Errorf("the change undone: %+v", decision)
	}
	if material, n := rotation.Serving(); n != 2 || !material.Leaf().Equal(next.Leaf) {
		t.Errorf("generation %d serves", n)
	}
}

// A certificate that is not valid yet is accepted once it is, without a change of its file. While the clock is
// set back, the previous material keeps serving.
func TestNotYetValidIsAcceptedOnceValid(t *testing.T) {
	root := ca.New(t, "root")
	rotation := NewRotation(serverWant(), time.Minute)
	rotation.Offer(noon, files(root.Issue(ca.Spec{Names: []string{testName}}), root.PEM()))
	early := files(root.Issue(ca.Spec{Names: []string{testName}, NotBefore: noon.Add(time.Hour)}), root.PEM())
	if decision := rotation.Offer(noon, early); decision.Action != Pending ||
		!decision.Report || !decision.RecheckAt.Equal(noon.Add(time.Hour)) {
		t.Errorf("early: %+v", decision)
	}
	if decision := rotation.Offer(noon.Add(time.Minute), early); decision.Action != Pending || decision.Report {
		t.Errorf("still early: %+v", decision)
	}
	if decision := rotation.Offer(noon.Add(-48*time.Hour), early); decision.Action != Pending {
		t.Errorf("the clock set back: %+v", decision)
	}
	if _, n := rotation.Serving(); n != 1 {
		t.Errorf("generation %d serves", n)
	}
	if decision := rotation.Offer(noon.Add(time.Hour), early); decision.Action != Accepted {
		t.Errorf("in time: %+v", decision)
	}
}

// Certificates, keys and roots are replaced in any order, truncated and restored while the clock jumps. Material
// that serves was sound when it was accepted, is never a partial change, and is replaced by any sound set at once.
func TestOfferNeverServesUnsoundMaterial(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	var pairs []*ca.Pair
	for i := range 4 {
		from := noon.Add(time.Duration(i-1) * time.Hour)
		pairs = append(pairs, root.Issue(ca.Spec{Names: []string{testName}, NotBefore: from}))
	}
	pairs = append(pairs, other.Issue(ca.Spec{Names: []string{testName}}))
	pairs = append(pairs, root.Issue(ca.Spec{Names: []string{"elsewhere"}}))
	rapid.Check(t, func(t *rapid.T) {
		rotation := NewRotation(serverWant(), time.Minute)
		now := noon
		input := Files{Cert: configured(pairs[0].Cert), Key: configured(pairs[0].Key), Roots: configured(root.PEM())}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			pair := pairs[rapid.IntRange(0, len(pairs)-1).Draw(t, "pair")]
			switch rapid.IntRange(0, 7).Draw(t, "change") {
			case 0, 1:
				input.Cert = configured(pair.Cert)
			case 2, 3:
				input.Key = configured(pair.Key)
			case 4:
				input.Cert.Data = pair.Cert[:rapid.IntRange(0, len(pair.Cert)).Draw(t, "cut")]
			case 5:
				input.Key = File{Configured: true, Err: errors.New("gone")}
			case 6:
				roots := [][]byte{root.PEM(), other.PEM()}
				first := rapid.IntRange(0, 1).Draw(t, "roots")
				input.Roots = configured(bytes.Join(roots[first:], nil))
			case 7:
				jump := rapid.Int64Range(-int64(2*time.Hour), int64(3*time.Hour)).Draw(t, "clock")
				now = now.Add(time.Duration(jump))
			}
			before, number := rotation.Serving()
			material, fault := Parse(input)
			sound := fault == nil && material.CheckIdentity(now, serverWant()) == nil
			decision := rotation.Offer(now, input)
			after, next := rotation.Serving()
			switch {
			case sound && material.Equal(before):
				if decision.Action != Unchanged || next != number {
					t.Fatalf("nothing has changed, and got %+v", decision)
				}
			case sound:
				if decision.Action != Accepted || !after.Equal(material) || next != number+1 {
					t.Fatalf("a sound set was not accepted: %+v", decision)
				}
			default:
				if after != before || decision.Action == Accepted ||
					decision.Action == Pending && !decision.RecheckAt.After(now) {
					t.Fatalf("a set that breaks a rule: %+v", decision)
				}
				if decision.Action != Unchanged && decision.Fault == nil {
					t.Fatalf("no reason: %+v", decision)
				}
			}
		}
	})
}
