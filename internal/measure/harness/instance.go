package harness

import (
	"fmt"
	"log/slog"

	"pinedale/internal/app"
	"pinedale/internal/config"
)

// Instance is a pinedale-proxy in this process.
type Instance struct {
	*app.Instance
}

// StartInstanceFromText starts an instance from the text of an operator's file and waits until it is ready. The
// instance logs nothing.
func StartInstanceFromText(configText string) (*Instance, error) {
	file, err := config.Parse([]byte(configText))
	if err != nil {
		return nil, err
	}
	return StartInstance(file, slog.New(slog.DiscardHandler))
}

// StartInstance starts an instance from an operator's file and waits until it is ready.
func StartInstance(file *config.File, log *slog.Logger) (*Instance, error) {
	started, err := app.Start(file, log)
	if err != nil {
		return nil, err
	}
	instance := &Instance{started}
	if err := instance.WaitReady(); err != nil {
		_ = instance.Close() // the caller gets the error of WaitReady
		return nil, err
	}
	return instance, nil
}

// URL returns the URL of the HTTP front, without a path.
func (i *Instance) URL() string { return "http://" + i.HTTP.String() }

// Close shuts the instance down, waits for it and returns its error.
func (i *Instance) Close() error {
	i.Shutdown()
	return i.Wait()
}

// ServerConfig returns the table of a server in an operator's file. The servers of a measurement are at site "a".
func ServerConfig(name, address string, pod int) string {
	const format = `[[server]]
name = %q
address = %q
site = "a"
pod = %d
`
	return fmt.Sprintf(format, name, address, pod)
}
