package tenants

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/admission"
	"pinedale/internal/config"
	"pinedale/internal/measure/harness"
)

// admitFunc decides on a request of a tenant at a time since the start.
type admitFunc func(tenant int, now time.Duration) bool

// newAdmission returns the admission that pinedale-proxy has with the operator's file of the measurement.
func newAdmission(t *testing.T, o *Options) admitFunc {
	t.Helper()
	server := harness.ServerConfig("s-0", "127.0.0.1:1", 0) // the file must list a server, which is not used
	file, err := config.Parse([]byte(o.configText() + server))
	if err != nil {
		t.Fatal(err)
	}
	table := file.Table()
	limits := admission.New(table.Admission(file.Limits.AdmitRate))
	return func(tenant int, now time.Duration) bool {
		number, ok := table.Tenant(tenantNames[tenant])
		if !ok {
			t.Fatalf("the operator's file has no tenant %q", tenantNames[tenant])
		}
		request := &balancer.Request{Tenant: number}
		_, admitted := limits.Admit(now.Microseconds(), request)
		if admitted {
			limits.Release(request)
		}
		return admitted
	}
}

// admittedRatios simulates the arrivals of a measurement on virtual time, and returns the ratio of each tenant's
// requests that were admitted.
func admittedRatios(o *Options, rates [tenantCount]float64, admit admitFunc) (ratios [tenantCount]float64) {
	var schedules [tenantCount]*arrivals
	var next [tenantCount]time.Duration
	for i, rate := range rates {
		next[i] = o.For
		if rate > 0 {
			schedules[i] = newArrivals(o.Seed, i, rate)
			next[i] = schedules[i].draw()
		}
	}
	var requested, admitted [tenantCount]float64
	for {
		tenant := 0
		for i := range next {
			if next[i] < next[tenant] {
				tenant = i
			}
		}
		now := next[tenant]
		if now >= o.For {
			break
		}
		next[tenant] = schedules[tenant].draw()
		requested[tenant]++
		if admit(tenant, now) {
			admitted[tenant]++
		}
	}
	for i := range ratios {
		ratios[i] = admitted[i] / max(1, requested[i])
	}
	return ratios
}

// A tenant at ten times its quota must leave the others their quota, which one limit for all does not. Time is virtual,
// so the figures are the same on any machine.
func TestLoudTenantLeavesOthersTheirQuota(t *testing.T) {
	const seeds = 20
	for _, rate := range []float64{150, 300} {
		for seed := range uint64(seeds) {
			o := &Options{For: 10 * time.Second, Rate: rate, Seed: seed}
			t.Run(fmt.Sprintf("rate %v seed %d", rate, seed), func(t *testing.T) { checkAdmittedRatios(t, o) })
		}
	}
}

func checkAdmittedRatios(t *testing.T, o *Options) {
	t.Helper()
	alone := admittedRatios(o, o.rates(false), newAdmission(t, o))
	beside := admittedRatios(o, o.rates(true), newAdmission(t, o))
	bucket := newTokenBucket(o.Rate)
	oneLimit := admittedRatios(o, o.rates(true), func(_ int, now time.Duration) bool { return bucket.take(now) })
	t.Logf("admitted: alone %.3f, beside the loud tenant %.3f, by one limit for all %.3f", alone, beside, oneLimit)
	for i := 1; i < tenantCount; i++ {
		if alone[i] < 0.95 {
			t.Errorf("%s: %.3f admitted without the loud tenant", tenantNames[i], alone[i])
		}
		if beside[i] < 0.95*alone[i] {
			t.Errorf("%s: %.3f admitted beside the loud tenant, %.3f without it", tenantNames[i], beside[i], alone[i])
		}
		if oneLimit[i] > 0.4 {
			t.Errorf("%s: %.3f admitted by one limit for all: the load is too low for a comparison", tenantNames[i], oneLimit[i])
		}
	}
	if beside[0] > 0.2 {
		t.Errorf("%s: %.3f admitted, want at most 0.2", tenantNames[0], beside[0])
	}
}

// The rows of a table.
const (
	rowPinedaleAlone = iota
	rowPinedaleBeside
	rowReverseAlone
	rowReverseBeside
)

// Over sockets, too, no request of a tenant within its quota is rejected, and the requests that are admitted in total
// stay within the rate. The bounds hold on a machine of any speed: the quiet tenants send no faster than their quota
// even after a pause of the process, the latency objective is so long that the decision module sheds no load of slow
// servers, and the rate is compared with the time that the load really took.
func TestProxiesKeepTheirLimitsOnSockets(t *testing.T) {
	o := Options{For: 1500 * time.Millisecond, Rate: 150, Seed: 1, quietClosedLoop: true, timeout: time.Minute}
	rows, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	for i := range rows {
		loudTakesPart := i == rowPinedaleBeside || i == rowReverseBeside
		checkRow(t, &o, &rows[i], loudTakesPart)
	}
	for _, row := range []Row{rows[rowPinedaleAlone], rows[rowPinedaleBeside]} {
		for n := 1; n < tenantCount; n++ {
			if tenant := row.Tenants[n]; tenant.OK < tenant.Requested {
				t.Errorf("%s, %s: %d of %d requests served, want all", row.Name, tenantNames[n], tenant.OK, tenant.Requested)
			}
		}
	}
	checkLimitForAll(t, &o, &rows[rowReverseBeside])
	var out bytes.Buffer
	if rows.Print(&out); strings.Count(out.String(), "\n") != 5 {
		t.Errorf("Print wrote %q, want 5 lines", out.String())
	}
}

// checkRow checks that the tenants of a row have sent requests, that those of the quiet tenants were answered 200 or
// 503, and that the proxy has admitted no more than its rate.
func checkRow(t *testing.T, o *Options, row *Row, loudTakesPart bool) {
	t.Helper()
	t.Logf("%s: %+v in %v", row.Name, row.Tenants, row.Took)
	admitted := 0
	for n, tenant := range row.Tenants {
		admitted += tenant.OK
		isLoud := n == 0
		if takesPart := !isLoud || loudTakesPart; (tenant.Requested > 0) != takesPart {
			t.Errorf("%s, %s: %d requests", row.Name, tenantNames[n], tenant.Requested)
		}
		if !isLoud && tenant.Failed > 0 {
			t.Errorf("%s, %s: %d of %d failed", row.Name, tenantNames[n], tenant.Failed, tenant.Requested)
		}
	}
	if limit := maxAdmitted(o, row.Took); float64(admitted) > limit {
		t.Errorf("%s: %d admitted in %v, want at most %.0f by the rate", row.Name, admitted, row.Took, limit)
	}
}

// maxAdmitted returns how many requests either limit admits in a time: those of the rate, one window more at the
// start, one at the end, and the windows of quota that the tenants may have saved.
func maxAdmitted(o *Options, took time.Duration) float64 {
	const (
		window       = 0.1 // seconds, of the admission
		savedWindows = 5
	)
	return o.Rate * (took.Seconds() + (2+savedWindows)*window)
}

// checkLimitForAll checks that one limit for all rejects requests of the quiet tenants, if the load was offered nearly
// as fast as intended. On a slower machine, only TestLoudTenantLeavesOthersTheirQuota checks this.
func checkLimitForAll(t *testing.T, o *Options, row *Row) {
	t.Helper()
	const minOverload = 3.5 // times the rate; the tenants are meant to offer nearly four times the rate
	requested := 0
	for _, tenant := range row.Tenants {
		requested += tenant.Requested
	}
	if offered := float64(requested) / row.Took.Seconds(); offered < minOverload*o.Rate {
		t.Logf("%.0f requests a second were offered: too few to judge one limit for all", offered)
		return
	}
	for n := 1; n < tenantCount; n++ {
		if tenant := row.Tenants[n]; float64(tenant.OK) > 0.7*float64(tenant.Requested) {
			t.Errorf("%s: %d of %d served by one limit for all: the load is too low for a comparison",
				tenantNames[n], tenant.OK, tenant.Requested)
		}
	}
}
