package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem/faultfs"
	"github.com/rookpass/rookpass/internal/decide/quota"
	"github.com/rookpass/rookpass/internal/front/exchange"
	"github.com/rookpass/rookpass/internal/objects/mirror"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/platform"
)

// diskFaults are the faults of a disk that a store daemon must survive, by name.
var diskFaults = map[string]func(*faultfs.FS){
	"full":            func(d *faultfs.FS) { d.Refuse(syscall.ENOSPC, faultfs.FullDisk...) },
	"refuses removal": func(d *faultfs.FS) { d.Refuse(syscall.EIO, append(faultfs.FullDisk, faultfs.Remove)...) },
	"cannot be read":  func(d *faultfs.FS) { d.Refuse(syscall.EIO, append(faultfs.FullDisk, faultfs.Open, faultfs.List)...) },
	"hangs":           func(d *faultfs.FS) { d.Delay(6*time.Second, append(faultfs.FullDisk, faultfs.Open)...) },
}

// TestStoreDaemonRunsOnFailingDisk makes the disk of a store daemon fail in service, before a restart and before its
// first use. It guards against a daemon that ends, or that stops serving mirrors, the exchange, quotas or its pages, or
// that does not return to service by itself.
func TestStoreDaemonRunsOnFailingDisk(t *testing.T) {
	for name, fault := range diskFaults {
		for _, when := range []string{"in service", "at a restart", "before its first use"} {
			t.Run(strings.ReplaceAll(name+"/"+when, " ", "-"), func(t *testing.T) {
				t.Parallel()
				testbubble.Run(t, func(t *testing.T) {
					output := &lockedBuffer{}
					w := newLoggedCluster(t, output)
					time.Sleep(2 * time.Second)
					m := w.stores[0]
					switch when {
					case "in service":
						fault(m.disk)
					case "at a restart":
						w.kill(m)
						fault(m.disk)
						w.start(m, false)
					case "before its first use":
						w.kill(m)
						m.diskGeneration++
						fault(m.disk)
						w.start(m, false)
					}
					w.publishConfig() // the mirrors have something to save
					time.Sleep(3 * time.Second)
					for range 20 {
						checkStoreServes(t, w, m)
						time.Sleep(100 * time.Millisecond)
					}
					m.disk.Repair()
					time.Sleep(10 * time.Second)
					status := storeStatusOf(t, w, m)
					assert.Equal(t, len(status.DiskProblems), 0, "%+v", status.DiskProblems)
					assert.Assert(t, status.Disk != "")
					assert.Assert(t, status.Slot >= 0, "the disk holds no slot")
					checkStoreServes(t, w, m)
				})
			})
		}
	}
}

// checkStoreServes checks that a store daemon runs and answers what does not need its disk within a usual delay.
func checkStoreServes(t *testing.T, w *cluster, m *vm) {
	t.Helper()
	select {
	case <-m.done:
		t.Fatal("the store daemon has ended")
	default:
	}
	began := time.Now()
	link := peerlink.NewPool(w.dial).LinkTo(m.ip + ":8144")
	snapshot, err := mirror.NewClient(link).List(t.Context(), platform.ConfigPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Objects), 1)
	_, err = exchange.Swap(t.Context(), link, &exchange.Args{})
	assert.NilError(t, err)
	_, err = peerlink.Call[quota.TakeReply](t.Context(), link, quota.ServiceName+".Take", &quota.TakeArgs{Organisation: "o", Limit: quota.Limit{PerSecond: 1, Burst: 1}})
	assert.NilError(t, err)
	storeStatusOf(t, w, m)
	assert.Assert(t, time.Since(began) <= 100*time.Millisecond, "answered after %v", time.Since(began))
}

// page returns the content of a page of a daemon.
func (c *cluster) page(t *testing.T, m *vm, path string) []byte {
	t.Helper()
	transport := &http.Transport{DialContext: c.dial, DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Get("http://" + platform.Settings{IP: m.ip, FirstPort: 7380}.MetricsAddress() + path)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, resp.Body.Close()) }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return data
}

func storeStatusOf(t *testing.T, w *cluster, m *vm) StoreStatus {
	t.Helper()
	var status StoreStatus
	assert.NilError(t, json.Unmarshal(w.page(t, m, StatusPath), &status))
	return status
}

// TestFullDiskIsReported checks that operators see a full disk on the status page, in the metrics and in one log line,
// with the path and the error.
func TestFullDiskIsReported(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		output := &lockedBuffer{}
		w := newLoggedCluster(t, output)
		m := w.stores[0]
		w.kill(m)
		m.disk.Refuse(syscall.ENOSPC, faultfs.FullDisk...)
		w.start(m, false)
		time.Sleep(4 * time.Second)
		problems := storeStatusOf(t, w, m).DiskProblems
		assert.Assert(t, len(problems) > 0)
		assert.Equal(t, problems[0].Use, "records")
		assert.Assert(t, strings.Contains(problems[0].Error, "no space left") && problems[0].Path != "", "%+v", problems[0])
		var seconds float64
		for line := range strings.Lines(string(w.page(t, m, "/metrics"))) {
			_, _ = fmt.Sscanf(line, "rookpass_disk_failed_seconds %g", &seconds)
		}
		assert.Assert(t, seconds >= 3, "%g s", seconds)
		assert.Equal(t, strings.Count(output.String(), "event=disk-unwritable"), 1, output.String())
		m.disk.Repair()
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(storeStatusOf(t, w, m).DiskProblems), 0)
		assert.Equal(t, strings.Count(output.String(), "event=disk-writable"), 1)
	})
}
