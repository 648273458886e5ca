package main

import (
	"strings"
	"testing"
)

func TestCompletionPrintsScriptsAndCandidates(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"completion bash", "__start_pinedale-proxy"},
		{"completion zsh", "#compdef pinedale-proxy"},
		{"completion fish", "complete -c pinedale-proxy"},
		{"__complete ex", "explain\t"},
		{"__complete keys verify --ce", "--cert\t"},
		{"__complete serve --con", "--config\t"},
	} {
		out, err := command(strings.Fields(c.args)...).Output()
		if err != nil || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: %v, printed %q, want %q", c.args, err, out, c.want)
		}
	}
}
