package cli

import (
	"os/exec"
	"strings"
	"testing"
)

// The programs that the platform runs have no command line, so they must not link the command line libraries.
func TestPlatformProgramsDoNotLinkCobra(t *testing.T) {
	for _, program := range []string{"pinedale/cmd/pinedale", "pinedale/cmd/simhost"} {
		out, err := exec.Command("go", "list", "-deps", program).Output()
		if err != nil {
			t.Fatal(err)
		}
		for _, dependency := range strings.Fields(string(out)) {
			if strings.HasPrefix(dependency, "github.com/spf13/") || dependency == "pinedale/internal/cli" {
				t.Errorf("%s links %s", program, dependency)
			}
		}
	}
}
