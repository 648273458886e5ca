package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The versions of two files, and the JSON that is hashed for them, are the same as in earlier releases.
func TestVersionsAreThoseOfEarlierReleases(t *testing.T) {
	for name, want := range map[string]string{"all-keys": "7b5d67d1", "defaults": "69f66468"} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join("testdata", "version", name)
			file, err := Load(path + ".toml")
			if err != nil {
				t.Fatal(err)
			}
			if got := file.Table().Version; got != want {
				t.Errorf("version %s, want %s", got, want)
			}
			wantText, err := os.ReadFile(path + ".json")
			if err != nil {
				t.Fatal(err)
			}
			text, err := file.versionText()
			if err != nil {
				t.Fatal(err)
			}
			if string(text) != string(wantText) {
				t.Errorf("hashed\n%s\nwant\n%s", text, wantText)
			}
		})
	}
}

// The keys of the file and their defaults are those of earlier releases.
func TestKeysAndDefaultsAreThoseOfEarlierReleases(t *testing.T) {
	want, err := os.ReadFile(filepath.Join("testdata", "defaults.toml"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := toml.Marshal(defaults())
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("keys and defaults\n%s\nwant\n%s", got, want)
	}
}
