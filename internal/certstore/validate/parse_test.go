package validate

import (
	"bytes"
	"strings"
	"testing"

	"pinedale/internal/standin/ca"
)

// Parse does not panic, and no fault contains parts of the key file.
func FuzzParse(f *testing.F) {
	root := ca.New(f, "root")
	pair := root.Issue(ca.Spec{Names: []string{testName}})
	f.Add(pair.Cert, pair.Key, root.PEM(), root.RevocationList(pair.Leaf))
	f.Add(pair.Cert[:100], pair.Key[:100], []byte("-----BEGIN"), []byte{})
	f.Fuzz(func(t *testing.T, cert, key, roots, revoked []byte) {
		material, fault := Parse(Files{
			Cert:    configured(cert),
			Key:     configured(key),
			Roots:   configured(roots),
			Revoked: configured(revoked),
		})
		if (material == nil) == (fault == nil) {
			t.Fatal("neither material nor a fault, or both")
		}
		if fault != nil {
			if len(key) <= 40 {
				return
			}
			excerpt := key[len(key)/2 : len(key)/2+20]
			if strings.Contains(fault.Error(), string(excerpt)) && !bytes.Contains(cert, excerpt) {
				t.Errorf("the fault contains a part of the key: %v", fault)
			}
			return
		}
		_ = material.CheckIdentity(noon, serverRequirements()) // any result is correct: it must not panic
	})
}
