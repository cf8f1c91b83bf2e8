package process

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/operatorapi"
	"cassialatch.dev/wire/platformapi"
)

// overlay is the name of the site's overlay document.
const overlay = platformapi.DocumentSitePrefix + harness.Site

// inForce reports whether a daemon uses a version of a document.
func (d *daemon) inForce(name string, version uint64) bool {
	return documentStatus(d.status(), name).InForceVersion == version
}

// awaitVersions waits until the given daemons use the given versions of both
// documents.
func (f *fleet) awaitVersions(daemons []*daemon, baseVersion, overlayVersion uint64) {
	f.t.Helper()
	for _, d := range daemons {
		harness.Eventually(f.t, fmt.Sprintf("%s has base %d and overlay %d", d.id, baseVersion, overlayVersion), func() bool {
			return d.inForce(platformapi.DocumentBase, baseVersion) && d.inForce(overlay, overlayVersion)
		})
	}
}

// fullReads returns how many reads the platform has served with a body.
func (f *fleet) fullReads() uint64 {
	calls := f.platform.Calls()
	return calls.Documents + calls.VMs - calls.NotModified - calls.Limited - calls.Dropped
}

// awaitPolls waits for as many reads as two polls of both documents and the VM
// list take. Only daemons without a watch poll: a watch returns a body only after
// a change, so it does not count while nothing is published.
func (f *fleet) awaitPolls() {
	f.t.Helper()
	const reads = 6 // base, overlay and VM list, twice each
	before := f.fullReads()
	harness.Eventually(f.t, "polls by daemons without a watch", func() bool { return f.fullReads() >= before+reads })
}

// TestConfiguration_NeverReverts guards against daemons that return to an older
// document when the platform serves stale or reverted data, or when they restart.
func TestConfiguration_NeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := start(t, options{daemons: 7, engines: 2, services: 1, seeds: true})
	putBase := func(version uint64) { f.platform.PutDocument(platformapi.DocumentBase, f.options.base, version) }
	putOverlay := func(version uint64) {
		f.platform.PutDocument(overlay, "[models.klang-model]\nmax_in_flight = 6\n", version)
	}
	putBase(2)
	f.awaitVersions(f.daemons, 2, 0)

	// Two documents are published concurrently.
	putAt := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { putBase(3) })
	wg.Go(func() { putOverlay(1) })
	wg.Wait()
	f.awaitVersions(f.daemons, 3, 1)
	t.Logf("both documents in force on all daemons after %v", time.Since(putAt))

	// The platform reverts to earlier documents.
	putBase(2)
	f.platform.PutDocument(overlay, "", 0) // gets the next version, 2
	f.awaitVersions(f.daemons, 3, 2)
	putBase(4)
	f.awaitVersions(f.daemons, 4, 2)
	f.platform.SetStale(true)
	putBase(5) // not visible to readers while stale
	stale := f.daemons[1]
	stale.terminate()
	stale.start()
	harness.Eventually(t, "daemon restarted while the platform serves stale data", stale.serves)
	f.awaitVersions(f.daemons, 4, 2)
	f.platform.SetStale(false)
	f.awaitVersions(f.daemons, 5, 2)

	// A daemon restarts during a platform outage and gets the documents and the
	// VM list from its peers.
	f.platform.SetOutage(true)
	restarted := f.daemons[2]
	restarted.terminate()
	restarted.start()
	harness.Eventually(t, "daemon restarted during the platform outage", restarted.serves)
	f.awaitVersions(f.daemons, 5, 2)
	vmListVersion := f.daemons[0].status().Platform.VMListVersion
	is.Equal(restarted.status().Platform.VMListVersion, vmListVersion)
	f.platform.SetOutage(false)

	// The platform is available again, but permanently with an old base document.
	putBase(1)
	putOverlay(3)
	f.awaitVersions(f.daemons, 5, 3)
	f.awaitPolls()
	f.awaitVersions(f.daemons, 5, 3)
	lateStarter := f.daemons[3]
	lateStarter.terminate()
	lateStarter.start()
	harness.Eventually(t, "daemon restarted while the platform has an old base document", lateStarter.ready)
	is.True(lateStarter.inForce(platformapi.DocumentBase, 5)) // must not be ready with an older version
	for _, d := range f.daemons {
		d.checkVersionsNeverDecrease()
	}
}

// checkVersionsNeverDecrease checks in the daemon's log that neither document
// was replaced by a lower version.
func (d *daemon) checkVersionsNeverDecrease() {
	var last, current struct{ Base, Overlay uint64 }
	for line := range strings.Lines(d.log.String()) {
		if !strings.Contains(line, "configuration in force") {
			continue
		}
		if err := json.Unmarshal([]byte(line), &current); err != nil {
			d.fleet.t.Fatal(err)
		}
		if current.Base < last.Base || current.Overlay < last.Overlay {
			d.fleet.t.Errorf("%s reverted from versions %v to %v", d.id, last, current)
		}
		last = current
	}
	if last.Base == 0 {
		d.fleet.t.Errorf("%s logged no configuration in force", d.id)
	}
}

// TestInvalidDocument_RejectedWithReason checks that an invalid document is
// rejected as a whole: the previous version stays in force and the reason names the
// problem.
func TestInvalidDocument_RejectedWithReason(t *testing.T) {
	t.Parallel()
	tests := []struct{ name, document, text, reason string }{
		{"base", platformapi.DocumentBase, harness.BaseDocument + "\n[models.other]\nmax_in_flight = \"many\"\n", "max_in_flight"},
		{"overlay", overlay, "[models.klang-model]\nno_such_key = 1\n", "no_such_key"},
		{"not TOML", platformapi.DocumentBase, "[models", "TOML"},
	}
	f := start(t, options{daemons: 2, engines: 1})
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			version := uint64(10 + i)
			before := documentStatus(f.daemons[0].status(), test.document).InForceVersion
			f.platform.PutDocument(test.document, test.text, version)
			var doc operatorapi.Document
			harness.Eventually(t, "document rejected", func() bool {
				doc = documentStatus(f.daemons[0].status(), test.document)
				return doc.RejectedVersion == version
			})
			is.Equal(doc.InForceVersion, before)
			if !strings.Contains(doc.Reason, test.reason) {
				t.Errorf("reason %q does not name %q", doc.Reason, test.reason)
			}
		})
	}
}

// TestPausedDaemon_StaleOrdersNotApplied guards against a home that is paused
// before it sends its orders and overwrites the orders of its successor when it
// resumes. Engines that check the fencing number refuse such orders. To engines
// that do not, the daemon itself must not send them.
func TestPausedDaemon_StaleOrdersNotApplied(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("engines check: %v", checks), func(t *testing.T) {
			is := is.New(t)
			config := harness.FastEngineConfig()
			config.CheckFence = checks
			text := strings.Replace(harness.BaseDocument, "load_factor", fmt.Sprintf("checks_fence = %v\nload_factor", checks), 1)
			f := start(t, options{daemons: 4, engines: 3, base: text, engine: config})
			enginesAtFence := func(fence uint64) func() bool {
				return func() bool {
					for _, e := range f.engines {
						if e.Stats().Fence != fence {
							return false
						}
					}
					return true
				}
			}
			harness.Eventually(t, "first orders", enginesAtFence(1))
			paused := f.homeOf(f.engines[0].ID)
			f.platform.PutDocument(platformapi.DocumentBase, text, 2)
			harness.Eventually(t, "home has the new document", func() bool { return paused.inForce(platformapi.DocumentBase, 2) })
			paused.signal(syscall.SIGSTOP) // usually before it has sent its new orders
			f.awaitReportedDead(paused)
			f.platform.PutDocument(platformapi.DocumentBase, text, 3)
			harness.Eventually(t, "orders of another home", enginesAtFence(3))
			paused.signal(syscall.SIGCONT)
			harness.Eventually(t, "resumed home has the latest document", func() bool { return paused.inForce(platformapi.DocumentBase, 3) && paused.serves() })
			f.platform.PutDocument(platformapi.DocumentBase, text, 4)
			harness.Eventually(t, "later orders", enginesAtFence(4))
			for _, e := range f.engines {
				stats := e.Stats()
				is.Equal(stats.StaleOrders, 0)
				t.Logf("%s refused %d orders for their fencing number", e.ID, stats.Refused)
			}
		})
	}
}
