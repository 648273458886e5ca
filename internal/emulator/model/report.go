package model

import (
	"slices"
	"time"
)

const (
	errorWindow = time.Second // interval over which a load report counts failures
	maxReports  = 64          // recorded reports that a server keeps
)

// LoadReport is the load that a server reports in its responses. It is delayed and inexact.
type LoadReport struct {
	ErrorsPerSecond float64
	Queue           float64 // requests that wait
}

// recordedReport is a load report with the time at which it was recorded. It is sent after Config.ReportDelay.
type recordedReport struct {
	at   Time
	load LoadReport
}

// Probe answers a load probe, which costs the server Config.ProbeWork. It returns false if the server does not answer.
func (s *Server) Probe(now Time) (LoadReport, bool) {
	s.advance(now)
	if s.down || s.unresponsive(now) {
		return LoadReport{}, false
	}
	s.addOverhead(now, s.config.ProbeWork)
	return s.Report(now), !s.down
}

// Report returns the load report in a response at this instant. The server must have been advanced to it.
func (s *Server) Report(now Time) LoadReport {
	for i := len(s.reports) - 1; i >= 0; i-- {
		if s.reports[i].at <= now-s.config.ReportDelay {
			return s.withNoise(s.reports[i].load)
		}
	}
	return LoadReport{}
}

// withNoise multiplies the values of a report by a random factor around 1.
func (s *Server) withNoise(load LoadReport) LoadReport {
	s.noiseDraws++
	factor := 1 + s.config.ReportNoise*(2*s.draw(s.noiseDraws, purposeNoise)-1)
	return LoadReport{ErrorsPerSecond: load.ErrorsPerSecond * factor, Queue: load.Queue * factor}
}

// recordReports records the load reports that are due by now. It discards the oldest ones beyond maxReports.
func (s *Server) recordReports() {
	for s.config.ReportInterval > 0 && s.nextReport <= s.now {
		expired := func(at Time) bool { return at < s.nextReport-errorWindow }
		s.recentErrors = slices.DeleteFunc(s.recentErrors, expired)
		s.reports = append(s.reports, recordedReport{
			at:   s.nextReport,
			load: LoadReport{ErrorsPerSecond: float64(len(s.recentErrors)), Queue: float64(len(s.queued))},
		})
		if len(s.reports) > maxReports {
			s.reports = slices.Delete(s.reports, 0, maxReports/2)
		}
		s.nextReport += s.config.ReportInterval
	}
}
