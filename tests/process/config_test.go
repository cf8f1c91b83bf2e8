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

const overlay = platformapi.DocumentSitePrefix + harness.Site

// inForce reports whether a version of a document is in force at a daemon.
func (d *daemon) inForce(name string, version uint64) bool {
	return document(d.status(), name).InForceVersion == version
}

// awaitVersions waits until versions of both documents are in force at some
// daemons.
func (f *fleet) awaitVersions(daemons []*daemon, base, site uint64) {
	f.t.Helper()
	for _, d := range daemons {
		harness.Eventually(f.t, fmt.Sprintf("%s has base %d and overlay %d", d.id, base, site), func() bool {
			return d.inForce(platformapi.DocumentBase, base) && d.inForce(overlay, site)
		})
	}
}

// wholeReads returns how many reads the platform answered with a body.
func (f *fleet) wholeReads() uint64 {
	calls := f.platform.Calls()
	return calls.Documents + calls.VMs - calls.NotModified - calls.Limited - calls.Dropped
}

// awaitPolls waits until the daemons that do not watch have read all that the
// platform holds; a watch answers with a body only when there is news.
func (f *fleet) awaitPolls() {
	f.t.Helper()
	const reads = 6 // of base, overlay and VM list, twice
	before := f.wholeReads()
	harness.Eventually(f.t, "followers polled", func() bool { return f.wholeReads() >= before+reads })
}

func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := start(t, options{daemons: 7, engines: 2, services: 1, seeds: true})
	base := func(version uint64) { f.platform.PutDocument(platformapi.DocumentBase, f.opts.base, version) }
	site := func(version uint64) {
		f.platform.PutDocument(overlay, "[models.klang-model]\nmax_in_flight = 6\n", version)
	}
	base(2)
	f.awaitVersions(f.daemons, 2, 0)

	// Two operators at once.
	put := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { base(3) })
	wg.Go(func() { site(1) })
	wg.Wait()
	f.awaitVersions(f.daemons, 3, 1)
	t.Logf("in force everywhere after %v", time.Since(put))

	// A platform that went back to what it held before.
	base(2)
	f.platform.PutDocument(overlay, "", 0)
	f.awaitVersions(f.daemons, 3, 2)
	base(4)
	f.awaitVersions(f.daemons, 4, 2)
	f.platform.SetStale(true)
	base(5) // no reader sees it
	stale := f.daemons[1]
	stale.terminate()
	stale.start()
	harness.Eventually(t, "restarted while stale", stale.serves)
	f.awaitVersions(f.daemons, 4, 2)
	f.platform.SetStale(false)
	f.awaitVersions(f.daemons, 5, 2)

	// A restart while the platform is down: peers have the documents and the
	// list.
	f.platform.SetOutage(true)
	alone := f.daemons[2]
	alone.terminate()
	alone.start()
	harness.Eventually(t, "restarted during the outage", alone.serves)
	f.awaitVersions(f.daemons, 5, 2)
	list := f.daemons[0].status().Platform.VMListVersion
	is.Equal(alone.status().Platform.VMListVersion, list)
	f.platform.SetOutage(false)

	// The platform comes back with an old base for good.
	base(1)
	site(3)
	f.awaitVersions(f.daemons, 5, 3)
	f.awaitPolls()
	f.awaitVersions(f.daemons, 5, 3)
	late := f.daemons[3]
	late.terminate()
	late.start()
	harness.Eventually(t, "restarted at an old platform", late.ready)
	is.True(late.inForce(platformapi.DocumentBase, 5)) // not ready before
	for _, d := range f.daemons {
		d.checkOnlyForward()
	}
}

// checkOnlyForward checks by its log that no version in force at a daemon was
// followed by a lower one.
func (d *daemon) checkOnlyForward() {
	var last, now struct{ Base, Overlay uint64 }
	for line := range strings.Lines(d.log.String()) {
		if !strings.Contains(line, "configuration in force") {
			continue
		}
		if err := json.Unmarshal([]byte(line), &now); err != nil {
			d.fleet.t.Fatal(err)
		}
		if now.Base < last.Base || now.Overlay < last.Overlay {
			d.fleet.t.Errorf("%s went back from %v to %v", d.id, last, now)
		}
		last = now
	}
	if last.Base == 0 {
		d.fleet.t.Errorf("%s logged no configuration", d.id)
	}
}

func TestBadDocumentIsRefusedWholeWithItsReason(t *testing.T) {
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
			before := document(f.daemons[0].status(), test.document).InForceVersion
			f.platform.PutDocument(test.document, test.text, version)
			var doc operatorapi.Document
			harness.Eventually(t, "refused", func() bool {
				doc = document(f.daemons[0].status(), test.document)
				return doc.RejectedVersion == version
			})
			is.Equal(doc.InForceVersion, before)
			if !strings.Contains(doc.Reason, test.reason) {
				t.Errorf("reason %q does not name %q", doc.Reason, test.reason)
			}
		})
	}
}

func TestOrdersOfAPausedDaemonAreNotTaken(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("engines check: %v", checks), func(t *testing.T) {
			is := is.New(t)
			config := harness.FastEngineConfig()
			config.CheckFence = checks
			text := strings.Replace(harness.BaseDocument, "load_factor", fmt.Sprintf("checks_fence = %v\nload_factor", checks), 1)
			f := start(t, options{daemons: 4, engines: 3, base: text, engine: config})
			ordered := func(fence uint64) func() bool {
				return func() bool {
					for _, e := range f.engines {
						if e.Stats().Fence != fence {
							return false
						}
					}
					return true
				}
			}
			harness.Eventually(t, "first orders", ordered(1))
			paused := f.homeOf(f.engines[0].ID)
			f.platform.PutDocument(platformapi.DocumentBase, text, 2)
			harness.Eventually(t, "new document at the sender", func() bool { return paused.inForce(platformapi.DocumentBase, 2) })
			paused.signal(syscall.SIGSTOP) // most often with orders that it has not sent yet
			f.awaitDeath(paused)
			f.platform.PutDocument(platformapi.DocumentBase, text, 3)
			harness.Eventually(t, "orders of another home", ordered(3))
			paused.signal(syscall.SIGCONT)
			harness.Eventually(t, "sender has caught up", func() bool { return paused.inForce(platformapi.DocumentBase, 3) && paused.serves() })
			f.platform.PutDocument(platformapi.DocumentBase, text, 4)
			harness.Eventually(t, "later orders", ordered(4))
			for _, e := range f.engines {
				stats := e.Stats()
				is.Equal(stats.StaleOrders, 0)
				t.Logf("%s refused %d orders", e.ID, stats.Refused)
			}
		})
	}
}
