package app

import (
	"errors"

	"pinedale/balancer"
	"pinedale/internal/config"
	"pinedale/internal/engine"
	"pinedale/internal/policy"
)

// errStopped is the error of a reload after the engine has stopped.
var errStopped = errors.New("the instance has stopped")

// LoadNext loads a file for Reload. Classes, routes and budgets keep their numbers, to which requests in flight may
// refer.
func (i *Instance) LoadNext(path string) (*config.File, error) {
	return config.LoadNext(path, i.Table())
}

// Table returns the table of classes and routes in use.
func (i *Instance) Table() *policy.Table { return i.table.Load() }

// Reload replaces classes, routes, pools, tenants, admission, names for verification and the source of membership by
// those of a file that LoadNext has read, and reads the files of all [[keys]] again. Requests in flight keep the rules
// that they began with. All other settings stay as they were at the start. After an error nothing has changed.
func (i *Instance) Reload(file *config.File) error {
	err := errStopped
	i.engine.Call(func(now balancer.Micros) { err = i.configure(now, file) })
	if err != nil {
		return err
	}
	i.stores.reload()
	i.logCounters()
	i.log.Info("configuration reloaded", "table", file.Table().Version)
	return nil
}

// configure applies a file in the engine's goroutine.
func (i *Instance) configure(now balancer.Micros, file *config.File) error {
	table := file.Table()
	err := i.engine.Configure(now, engine.RuntimeSettings{
		Classes: table.Classes(),
		Budgets: table.Budgets(),
		Pools:   table.Pools,
	})
	if err != nil {
		return err
	}
	i.admission.Configure(table.Admission(file.Limits.AdmitRate))
	if i.extProc != nil {
		i.extProc.SetClasses(table.Classes())
	}
	i.table.Store(table)
	i.parser.SetRouter(newRouter(table))
	if i.upstreamTLS != nil {
		i.upstreamTLS.SetNames(file.VerifyNames())
	}
	i.engine.SwitchSource(newSource(file, i.log))
	return nil
}
