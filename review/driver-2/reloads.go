package main

import "time"

func init() { cases["reloads"] = playReloads }

// playReloads replaces the configuration several times in quick succession while discovery is slow.
func playReloads(r *run) (int, error) {
	fleet, err := newDrainFleet(r)
	if err != nil {
		return notRun, err
	}
	defer fleet.close()
	var addresses []*discovery
	for range 6 {
		d, err := startDiscovery(fleet.list, r.record)
		if err != nil {
			return notRun, err
		}
		defer d.close()
		addresses = append(addresses, d)
	}
	s, err := startSidecar(r.root, addresses[0].address, smallDeployment(priceCheck(), stallPay(), dayClose()), 128, 1024,
		fleet.list.whole())
	if err != nil {
		return notRun, err
	}
	defer s.end()
	l := startLoad(r, s.listen, 6, 20*time.Millisecond, time.Second, priceCheckRequest, nil)
	defer l.end()
	time.Sleep(4 * time.Second)
	if r.trouble {
		for _, d := range addresses {
			d.setDelay(2500 * time.Millisecond)
		}
		r.record.say("every call waits 2.5 s for its turn")
	}
	var told time.Time
	for i := 1; i < len(addresses); i++ {
		if err := s.reload(addresses[i].address); err != nil {
			return notRun, err
		}
		r.record.say("SIGHUP: discovery is now %s", addresses[i].address)
		addresses[i-1].retire()
		if i == 1 {
			time.Sleep(100 * time.Millisecond)
			fleet.list.setHealth("s-1", "Terminating")
			told = time.Now().Add(6 * time.Second)
			r.record.say("s-1 begins to drain")
		}
		if !r.trouble {
			break
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(8 * time.Second)
	if !s.alive() {
		r.record.say("the sidecar has ended: %s", s.log())
		return broken, nil
	}
	return fleet.judge(r, told), nil
}
