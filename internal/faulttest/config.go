package faulttest

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/template"
	"time"

	"pinedale/balancer"
)

// configTemplate is the configuration of an instance. Its data is a configData. Slow start and health checks are
// disabled, so that replicated state about servers stops changing once clients have stopped.
var configTemplate = template.Must(template.New("config").Funcs(configFunctions).Parse(`version = 1
name = {{quote .Instance.Name}}
site = {{quote .Site}}

[http]
listen = {{quote .Instance.HTTPAddress}}

[limits]
probes = false

[fleet]
sites = [{{quote .Site}}]
kinds = [{{quote .ServerKind}}]
reports = ["queue"]
instances = {{len .InstanceNames}}
warm_within = "0s"
{{range .Classes}}
[[class]]
name = {{quote .Name}}
repeat = {{quote .Repeat}}
aim = "{{.LatencyObjective}}"
deadline = "{{.Deadline}}"
{{- if .HasKey}}
group = {{quote .Group}}
window = "{{.DedupWindow}}"
agree = {{quote $.Agreement}}
{{- end}}
{{end}}
[peers]
listen = {{quote .Instance.PeerAddress}}
status = {{quote .Instance.StatusAddress}}
keys_file = {{quote .KeyFile}}
witnesses = {{array .InstanceNames}}
join = {{array .JoinAddresses}}

[peers.via]
{{- range $name, $relay := .PeerRelays}}
{{quote $name}} = {{quote $relay}}
{{- end}}

[discovery]
address = {{quote .DiscoveryAddress}}
ask_within = "2s"
`))

// configFunctions are the functions of configTemplate.
var configFunctions = template.FuncMap{
	"quote": strconv.Quote,
	"array": quoteArray,
}

// quoteArray formats strings as a TOML array.
func quoteArray(values []string) string {
	quoted := make([]string, len(values))
	for i, value := range values {
		quoted[i] = strconv.Quote(value)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// configData is the data of configTemplate.
type configData struct {
	Instance         configInstance
	InstanceNames    []string
	Site             string
	ServerKind       string
	Classes          []configClass
	Agreement        string
	KeyFile          string
	JoinAddresses    []string          // name/address of each other instance
	PeerRelays       map[string]string // address of the relay to each other instance
	DiscoveryAddress string
}

// configInstance is the configured instance.
type configInstance struct {
	Name          string
	HTTPAddress   string
	PeerAddress   string
	StatusAddress string
}

// configClass is a class of requests in the configuration.
type configClass struct {
	Name             string
	Repeat           string
	HasKey           bool
	Group            string
	DedupWindow      time.Duration
	LatencyObjective time.Duration
	Deadline         time.Duration
}

// repeatValues are the values of the key class.repeat.
var repeatValues = map[balancer.Idempotency]string{
	balancer.Idempotent:        "safe",
	balancer.IdempotentWithKey: "keyed",
}

// groupValues are the values of the key class.group.
var groupValues = map[balancer.Group]string{
	balancer.GroupAll:  "all",
	balancer.GroupCell: "pod",
}

// writeConfig writes the configuration file of an instance's next process.
func (r *testRun) writeConfig(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	data := configData{
		Instance: configInstance{
			Name:          i.name,
			HTTPAddress:   i.httpAddress,
			PeerAddress:   i.peerAddress,
			StatusAddress: i.statusAddress,
		},
		Site:             siteName,
		ServerKind:       serverKind,
		Classes:          configClasses(),
		Agreement:        string(r.options.Schedule.Agreement),
		KeyFile:          r.keyFile,
		PeerRelays:       i.peerRelays,
		DiscoveryAddress: i.discoveryAddress,
	}
	for _, instance := range r.instances {
		data.InstanceNames = append(data.InstanceNames, instance.name)
	}
	for name, relay := range i.peerRelays {
		data.JoinAddresses = append(data.JoinAddresses, name+"/"+relay)
	}
	slices.Sort(data.JoinAddresses)
	var text bytes.Buffer
	if err := configTemplate.Execute(&text, data); err != nil {
		return err
	}
	i.configFile = filepath.Join(r.options.Dir, i.name+".toml")
	return os.WriteFile(i.configFile, text.Bytes(), 0o600)
}

// configClasses returns requestClasses as configured.
func configClasses() []configClass {
	var configured []configClass
	for _, class := range requestClasses {
		configured = append(configured, configClass{
			Name:             class.name,
			Repeat:           repeatValues[class.idempotency],
			HasKey:           class.hasKey(),
			Group:            groupValues[class.group],
			DedupWindow:      class.dedupWindow,
			LatencyObjective: class.latencyObjective,
			Deadline:         class.deadline,
		})
	}
	return configured
}
