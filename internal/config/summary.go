package config

import (
	"fmt"
	"strings"
)

// Summary describes in one line what a file configures.
func (f *File) Summary() string {
	var parts []string
	if f.HTTP.Listen != "" {
		parts = append(parts, "http on "+f.HTTP.Listen)
	}
	if f.HTTP3.Listen != "" {
		parts = append(parts, "http3 on "+f.HTTP3.Listen)
	}
	if f.ExtProc.Listen != "" {
		parts = append(parts, "ext_proc on "+f.ExtProc.Listen)
	}
	names := make([]string, len(f.Classes))
	for i := range f.Classes {
		names[i] = f.Classes[i].Name
	}
	parts = append(parts, fmt.Sprintf("%d classes (%s)", len(names), strings.Join(names, ", ")))
	if len(f.Routes) > 0 {
		parts = append(parts, fmt.Sprintf("%d routes", len(f.Routes)))
	}
	if len(f.Ephemeral.Servers) > 0 {
		parts = append(parts, "servers from ephemeral nodes under "+f.Ephemeral.Path)
	}
	if f.Discovery.Address != "" {
		parts = append(parts, "servers from "+f.Discovery.Address)
	}
	if len(f.Servers) > 0 {
		parts = append(parts, fmt.Sprintf("%d servers", len(f.Servers)))
	}
	return strings.Join(parts, ", ")
}
