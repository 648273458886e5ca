package deploy

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestArchitecturePageListsEveryPackage checks that the first columns of the tables in ARCHITECTURE.md name
// exactly the packages of the module.
func TestArchitecturePageListsEveryPackage(t *testing.T) {
	page, err := os.ReadFile("../ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	packages := string(page)
	packages = packages[strings.Index(packages, "\n## Packages\n"):strings.Index(packages, "\n## Who owns which state\n")]
	var listed []string
	quoted := regexp.MustCompile("`([^`]+)`")
	for _, line := range strings.Split(packages, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		for _, name := range quoted.FindAllStringSubmatch(cells[1], -1) {
			listed = append(listed, name[1])
		}
	}
	list := exec.Command("go", "list", "./...")
	list.Dir = ".."
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	var present []string
	for _, path := range strings.Fields(string(out)) {
		present = append(present, strings.TrimPrefix(path, "pinedale/"))
	}
	for _, name := range present {
		if !slices.Contains(listed, name) {
			t.Errorf("%s has no row in ARCHITECTURE.md", name)
		}
	}
	for _, name := range listed {
		if !slices.Contains(present, name) {
			t.Errorf("ARCHITECTURE.md names %s, which is not a package", name)
		}
	}
	slices.Sort(listed)
	if n := len(slices.Compact(slices.Clone(listed))); n != len(listed) {
		t.Errorf("%d packages are listed twice", len(listed)-n)
	}
}
