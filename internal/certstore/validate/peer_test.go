package validate

import (
	"crypto/x509"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/internal/standin/ca"
)

// The cache of verified chains does not change the result of VerifyPeer, for any peer, name and time, several sets of
// roots and revocation lists, and a clock that is set back.
func TestCachedChainsAgreeWithFullVerification(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	intermediate := root.NewIntermediate("between")
	issue := func(authority *ca.Authority, spec ca.Spec) *ca.Pair {
		if spec.Names == nil {
			spec.Names = []string{testName}
		}
		return authority.Issue(spec)
	}
	revoked := issue(root, ca.Spec{})
	var chains [][]*x509.Certificate
	for _, pair := range []*ca.Pair{
		issue(root, ca.Spec{}),
		issue(intermediate, ca.Spec{}),
		issue(intermediate, ca.Spec{OmitIntermediate: true}),
		issue(other, ca.Spec{}),
		revoked,
		issue(root, ca.Spec{NotBefore: noon, NotAfter: noon.Add(time.Hour)}),
		issue(root, ca.Spec{NotAfter: noon.Add(-time.Hour)}),
		issue(root, ca.Spec{Names: []string{"x.example.org"}}),
	} {
		chain, fault := parseCertificates(peerChain, pair.Cert)
		if fault != nil {
			t.Fatal(fault)
		}
		chains = append(chains, chain)
	}
	sets := []Files{
		{Roots: configured(root.PEM()), Revoked: configured(root.RevocationList(revoked.Leaf))},
		{Roots: configured(root.PEM())},
		{Roots: configured(other.PEM())},
	}
	parse := func(input Files) *Material {
		t.Helper()
		material, fault := Parse(input)
		if fault != nil {
			t.Fatal(fault)
		}
		return material
	}
	cached := []*Material{parse(sets[0]), parse(sets[1]), parse(sets[2])}
	rapid.Check(t, func(t *rapid.T) {
		set := rapid.IntRange(0, 2).Draw(t, "set")
		chain := rapid.SampledFrom(chains).Draw(t, "chain")
		usages := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
		requirements := ChainRequirements{
			Names:       []string{rapid.SampledFrom([]string{testName, "x.example.org"}).Draw(t, "name")},
			Usage:       rapid.SampledFrom(usages).Draw(t, "use"),
			MinRSABits:  2048,
			ExpiryGrace: rapid.SampledFrom([]time.Duration{0, 2 * time.Hour}).Draw(t, "over"),
		}
		now := noon.Add(time.Duration(rapid.IntRange(-180, 900).Draw(t, "minutes")) * time.Minute)
		got := cached[set].VerifyPeer(now, chain, requirements)
		want := parse(sets[set]).VerifyPeer(now, chain, requirements)
		if (got == nil) != (want == nil) || got != nil && got.Error() != want.Error() {
			t.Fatalf("with the cache %v, without %v", got, want)
		}
	})
}
