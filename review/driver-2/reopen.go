package main

import "time"

func init() { cases["reopen"] = playReopen }

// playReopen lets the open watch fall silent while discovery is slow.
func playReopen(r *run) (int, error) {
	fleet, err := newDrainFleet(r)
	if err != nil {
		return notRun, err
	}
	defer fleet.close()
	d, err := startDiscovery(fleet.list, r.record)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	s, err := startSidecar(r.root, d.address, smallDeployment(priceCheck(), stallPay(), dayClose()), 128, 1024, fleet.list.whole())
	if err != nil {
		return notRun, err
	}
	defer s.end()
	l := startLoad(r, s.listen, 6, 20*time.Millisecond, time.Second, priceCheckRequest, nil)
	defer l.end()
	time.Sleep(4 * time.Second)
	opened, ok := d.awaitWatch(10 * time.Second)
	if !ok {
		r.record.say("the sidecar has opened no watch")
		return notRun, nil
	}
	r.record.say("a watch was opened at %v ms", opened.Sub(r.record.start).Milliseconds())
	time.Sleep(50 * time.Millisecond)
	told := time.Now()
	if r.trouble {
		d.silence()
		d.setDelay(2900 * time.Millisecond)
		r.record.say("the open watch falls silent, and every call waits 2.9 s for its turn")
		told = told.Add(6 * time.Second)
	}
	time.Sleep(50 * time.Millisecond)
	fleet.list.setHealth("s-1", "Terminating")
	r.record.say("s-1 begins to drain")
	time.Sleep(14 * time.Second)
	if !s.alive() {
		r.record.say("the sidecar has ended: %s", s.log())
		return broken, nil
	}
	return fleet.judge(r, told), nil
}
