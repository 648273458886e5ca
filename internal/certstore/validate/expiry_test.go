package validate

import (
	"testing"
	"time"

	"pinedale/internal/standin/ca"
)

// Each threshold causes one warning. A new certificate that is valid for months causes none.
func TestExpiryWarningOncePerThreshold(t *testing.T) {
	root := ca.New(t, "root")
	rotation := NewRotation(serverRequirements(), time.Minute)
	if _, ok := rotation.ExpiryWarning(noon); ok {
		t.Error("a warning without a certificate")
	}
	end := noon.AddDate(0, 0, 60)
	rotation.Offer(noon, files(root.Issue(ca.Spec{Names: []string{testName}, NotAfter: end}), root.PEM()))
	var got []Warning
	for now := noon; now.Before(end.Add(48 * time.Hour)); now = now.Add(30 * time.Minute) {
		if warning, ok := rotation.ExpiryWarning(now); ok {
			got = append(got, warning)
		}
	}
	if len(got) != len(warningThresholds) {
		t.Fatalf("%d warnings, want %d: %+v", len(got), len(warningThresholds), got)
	}
	for i, warning := range got {
		threshold := warningThresholds[i]
		urgent := threshold <= 24*time.Hour
		if warning.Remaining > threshold || warning.Remaining < threshold-time.Hour || warning.Urgent != urgent {
			t.Errorf("warning %d: %+v, want at most %v remaining and urgent %v", i, warning, threshold, urgent)
		}
	}
	next := root.Issue(ca.Spec{Names: []string{testName}, NotAfter: end.AddDate(0, 2, 0)})
	rotation.Offer(noon, files(next, root.PEM()))
	if _, ok := rotation.ExpiryWarning(noon); ok {
		t.Error("a warning for a certificate that is valid for months")
	}
}
