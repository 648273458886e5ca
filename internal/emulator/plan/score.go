package plan

// worstWindowSeconds is the length of the windows of WorstWindow.
const worstWindowSeconds = 10

// InTime returns the ratio of requests that were served within their latency objective.
func (r *Result) InTime() float64 {
	total := sumTallies(r.Classes)
	return float64(total.InTime) / float64(max(1, total.Requested))
}

// Score returns G, the score of a run from 0 to 1. It is the mean of the value earned over the whole run, in the worst
// window and by the worst class, each as a ratio of the value of all requests, weighted by the goal of the settings.
func (s *Scenario) Score(r *Result) float64 {
	earned, possible := s.earned(r.Classes)
	if possible == 0 {
		return 0
	}
	goal := s.Settings.Goal
	sum := goal.Overall*earned/possible + goal.WorstWindow*s.WorstWindow(r) + goal.WorstClass*s.WorstClass(r)
	return sum / (goal.Overall + goal.WorstWindow + goal.WorstClass)
}

// WorstWindow returns the lowest ratio of value earned in any window of worstWindowSeconds, 1 for a shorter run.
func (s *Scenario) WorstWindow(r *Result) float64 {
	worst := 1.0
	for first := 0; first+worstWindowSeconds <= len(r.Seconds); first++ {
		var earned, possible float64
		for i := range worstWindowSeconds {
			earnedInSecond, possibleInSecond := s.earned(r.Seconds[first+i].Classes)
			earned += earnedInSecond
			possible += possibleInSecond
		}
		if possible > 0 {
			worst = min(worst, earned/possible)
		}
	}
	return worst
}

// WorstClass returns the lowest ratio of value earned by any class.
func (s *Scenario) WorstClass(r *Result) float64 {
	worst := 1.0
	for i, tally := range r.Classes {
		if tally.Requested > 0 {
			worst = min(worst, s.Classes[i].weightedServed(tally)/float64(tally.Requested))
		}
	}
	return worst
}

// earned returns the value of the requests that were served, and the value of all requests.
func (s *Scenario) earned(classes []Tally) (earned, possible float64) {
	for i, tally := range classes {
		class := &s.Classes[i]
		earned += class.PriorityWeight * class.weightedServed(tally)
		possible += class.PriorityWeight * float64(tally.Requested)
	}
	return earned, possible
}

// weightedServed counts served requests, late ones at the class's reduced weight.
func (c *Class) weightedServed(tally Tally) float64 {
	return float64(tally.InTime) + c.LateWeightRatio*float64(tally.Late)
}
