// Package subset selects the servers of a large fleet that one instance connects to, probes
// and sends requests to. If each of thousands of instances used every server, connections and
// probes alone would load the servers, and the cost of a routing decision would grow with the size
// of the fleet. The package does no I/O and reads no clock.
//
//	topic                           selection
//	small fleet                     every server, if there are no more than the wanted size
//	which servers                   the first by rendezvous hashing of the instance's and the
//	                                server's name: each instance has its own order, which does
//	                                not change when other servers are added or removed
//	sites                           half from the instance's site, the rest from the other
//	                                sites in equal parts; if a site has too few servers, the
//	                                others make up for it
//	pods                            with RankPods, because idempotent requests may be retried
//	                                only within a pod: pods are ranked in place of servers, and
//	                                two servers of each are selected
//	size                            a minimum plus a number per request in flight; it grows at
//	                                once, and shrinks after a minute of markedly lower load
//	a selected server fails         it remains selected, so that its recovery is noticed, and one
//	                                more server is selected until it answers again
//	a selected server drains        the next server in the order replaces it
//	or is removed
//
// Rendezvous hashing (Thaler and Ravishankar, 1998) keeps changes small: if one server is added
// or removed, the selection of its site changes by at most one healthy server, or one pod where
// pods are ranked. Failing servers are selected in addition, up to a multiple of the wanted
// number. If a healthy server is replaced, all failing servers ranked between it and its
// successor are added or removed with it. They receive no requests; keeping them would make
// the selection depend on its history.
package subset
