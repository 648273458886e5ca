package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The network between the sites, from the site file: one way, in ms, and by how much it varies.
const (
	crossLow    = 5.6
	crossHigh   = 10.0
	crossJitter = 0.33
)

// startFleet starts the servers of a small deployment on two sites. With cross, those of the other site are behind
// relays that delay what passes as the network between the sites does.
func startFleet(w *world, n int, cross bool) ([]*endpoint, []host, error) {
	kinds := []struct {
		name  string
		cores int
		speed float64
	}{{"big-box", 3, 2}, {"small-box", 2, 1.2}, {"slow-box", 3, 0.8}}
	var endpoints []*endpoint
	var hosts []host
	for i := range n {
		kind := kinds[i%len(kinds)]
		name := fmt.Sprintf("s-%08x", rand.Uint32())
		e, address, err := startEndpoint(w, name, kind.cores, kind.speed)
		if err != nil {
			return nil, nil, err
		}
		site := "dar"
		if i%2 == 0 {
			site = "arusha"
			if cross {
				base := crossLow + rand.Float64()*(crossHigh-crossLow)
				low, high := base*(1-crossJitter), base*(1+crossJitter)
				address, err = startRelay(address, time.Duration(low*1e6), time.Duration(high*1e6))
				if err != nil {
					return nil, nil, err
				}
			}
		}
		w.logf("server %s at %s, site %s, kind %s", name, address, site, kind.name)
		endpoints = append(endpoints, e)
		hosts = append(hosts, host{Host: name, Dial: address, Site: site, Class: kind.name, Block: i / 5, Health: "Ready",
			Share: 1})
	}
	return endpoints, hosts, nil
}

// startSidecars starts the sidecars of a small deployment, all on the site dar, and waits until they are ready.
func startSidecars(w *world, n int, d *discovery, classes []class) ([]*sidecar, func(), error) {
	var sidecars []*sidecar
	end := func() {
		for _, s := range sidecars {
			s.kill(w)
		}
	}
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		address, err := d.addressFor(name)
		if err != nil {
			end()
			return nil, nil, err
		}
		s, err := w.startSidecar(name, address, d.whole(), sokoSettings(classes, n, i, 1))
		if err != nil {
			end()
			return nil, nil, err
		}
		sidecars = append(sidecars, s)
	}
	for _, s := range sidecars {
		if err := s.awaitReady(); err != nil {
			end()
			return nil, nil, err
		}
	}
	return sidecars, end, nil
}
