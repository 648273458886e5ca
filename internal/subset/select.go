package subset

import "slices"

const (
	// maxServersPerWanted limits the selected servers of a site, failing ones included, to a
	// multiple of the wanted number. If most of a site's servers fail, selecting more of them
	// does not help.
	maxServersPerWanted = 4
	// serversPerPod is the number of servers selected of a pod: one, and a second one for retries.
	serversPerPod = 2
)

// Select computes a new selection. It returns the names of servers that were added to it and
// of those that were removed from it, sorted. Neither contains a server that Remove was called for.
// Its cost is proportional to the size of the selection, not of the fleet.
func (s *Subset) Select() (added, removed []string) {
	next := s.selectMembers()
	for m := range next {
		if !m.selected {
			m.selected = true
			added = append(added, m.Name)
		}
	}
	for m := range s.selected {
		if next[m] {
			continue
		}
		m.selected = false
		if s.members[m.Name] == m {
			removed = append(removed, m.Name)
		}
	}
	s.selected = next
	slices.Sort(added)
	slices.Sort(removed)
	return added, removed
}

// selectMembers selects members of each site up to the site's quota. If a site has too few healthy
// servers, sites that filled their quotas supply the rest, the instance's own site first.
func (s *Subset) selectMembers() map[*member]bool {
	selected := map[*member]bool{}
	quotas := s.quotas()
	sites := s.siteOrder()
	shortfall := 0
	quotaFilled := map[string]bool{}
	for _, site := range sites {
		healthy := s.selectFromSite(site, quotas[site], selected)
		shortfall += max(0, quotas[site]-healthy)
		quotaFilled[site] = healthy >= quotas[site]
	}
	for _, site := range sites {
		if shortfall > 0 && quotaFilled[site] {
			healthy := s.selectFromSite(site, quotas[site]+shortfall, selected)
			shortfall -= max(0, healthy-quotas[site])
		}
	}
	return selected
}

// selectFromSite adds members of a site to selected, in the order of their rank, until the
// wanted number of healthy ones is reached. It returns the number of healthy ones.
func (s *Subset) selectFromSite(site string, wanted int, selected map[*member]bool) (healthy int) {
	remaining := maxServersPerWanted*wanted + serversPerPod
	for _, u := range s.sites[site] {
		if healthy >= wanted || remaining <= 0 {
			break
		}
		members := u.members
		if s.config.RankPods {
			members = members[:min(len(members), serversPerPod)]
		}
		for _, m := range members {
			selected[m] = true
			remaining--
			if !m.failing() {
				healthy++
			}
		}
	}
	return healthy
}

// siteOrder returns the sites that have servers: the instance's own, then the others by name.
func (s *Subset) siteOrder() []string {
	var sites []string
	for site := range s.sites {
		if site != s.config.Site {
			sites = append(sites, site)
		}
	}
	slices.Sort(sites)
	if s.sites[s.config.Site] != nil {
		sites = append([]string{s.config.Site}, sites...)
	}
	return sites
}

// quotas returns the number of healthy servers wanted of each site: half from the instance's
// own site, and the rest from the others in equal parts. If a site has too few servers, the
// other remote sites make up for it, and then the instance's own.
func (s *Subset) quotas() map[string]int {
	a := allocation{subset: s, quotas: map[string]int{}, remaining: s.sizing.size}
	localSite := s.config.Site
	otherSites := s.siteOrder()
	if s.sites[localSite] != nil {
		otherSites = otherSites[1:]
		localQuota := s.sizing.size
		if len(otherSites) > 0 {
			localQuota = (s.sizing.size + 1) / 2
		}
		a.assign(localSite, localQuota)
	}
	a.assignEvenly(otherSites)
	a.assign(localSite, a.remaining)
	return a.quotas
}

// allocation divides the wanted number of servers among sites.
type allocation struct {
	subset    *Subset
	quotas    map[string]int // by site
	remaining int            // servers not assigned yet
}

// assign raises a site's quota by up to n, as far as the site has servers and any remain.
func (a *allocation) assign(site string, n int) {
	n = max(0, min(n, a.subset.capacity(site)-a.quotas[site], a.remaining))
	a.quotas[site] += n
	a.remaining -= n
}

// assignEvenly raises the quotas of sites in equal parts until no server remains to be assigned
// or the sites have no more servers.
func (a *allocation) assignEvenly(sites []string) {
	if len(sites) == 0 {
		return
	}
	progress := true
	for progress && a.remaining > 0 {
		before := a.remaining
		perSite := max(1, a.remaining/len(sites))
		for _, site := range sites {
			a.assign(site, perSite)
		}
		progress = a.remaining < before
	}
}

// capacity returns how many servers of a site may be selected.
func (s *Subset) capacity(site string) int {
	capacity := s.serverCount[site]
	if s.config.RankPods {
		capacity = min(capacity, serversPerPod*len(s.sites[site]))
	}
	return capacity
}
