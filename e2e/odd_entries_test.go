package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// oddEntries are items that another writer may leave in the store, by key. A process that computes with
// their values, or calls their addresses, may end or stop following the others.
func oddEntries(daemonAddress string) map[tw.Key]string {
	deep := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	entry := func(member string) string {
		return `{"service":"` + queuePool + `","address":"127.0.0.1:1","state":"ready","zone":"h1","machine":"mx","capacity":{"cpu":4000,"memMb":8000},` + member + `}`
	}
	large := `{"cpu":9223372036854775807,"memMb":9223372036854775807,"gpu":9223372036854775807}`
	return map[tw.Key]string{
		"servers/deep":         entry(`"later":` + deep(200_000)),
		"servers/deep-known":   entry(`"labels":` + deep(9_999)),
		"servers/deep-usable":  entry(`"later":` + deep(9_000)),
		"servers/large":        entry(`"remainingMs":9223372036854775807,"born":9223372036854775807`),
		"servers/larger":       entry(`"remainingMs":` + strings.Repeat("9", 500_000)),
		"servers/capacity":     entry(`"capacity":` + large),
		"servers/capacity-too": entry(`"capacity":` + large),
		"servers/port":         entry(`"address":"127.0.0.1:65536"`),
		"servers/any":          entry(`"address":"0.0.0.0:80"`),
		"servers/multicast":    entry(`"address":"224.0.0.1:80"`),
		"servers/zone":         entry(`"address":"[fe80::1%25]:80"`),
		"servers/mapped":       entry(`"address":"[::ffff:127.0.0.1]:1"`),
		"servers/daemon":       entry(`"address":"` + daemonAddress + `"`),
		"servers/labels":       entry(`"labels":["` + strings.Repeat(`r","`, 100_000) + `"]`),
		"servers/line\nbreak":  entry(`"labels":["\u0000\"","\n"]`),
		"servers/\xff\xfe":     "\xff",
		"servers/":             entry(`"slots":-1`),
		"servers/w0/w0":        entry(`"slots":1e400`),

		"op/wave/x":                      `{"wave":1,"machines":["m0","m1","m2"],"durationS":1e308,"maximum":9223372036854775807}`,
		"op/wave/7":                      strings.Repeat(`{"wave":`, 200_000),
		"op/evacuate/\n\"":               deep(200_000),
		"op/other":                       "\xff",
		"tw/member/live/odd":             `{"daemon":"d1","life":99,"address":"127.0.0.1:1","hall":"h","cores":1e308}`,
		"tw/member/live/deep":            deep(200_000),
		"tw/member/owner/odd":            `{"pool":"` + queuePool + `","daemon":"d9","address":"127.0.0.1:1","fence":9223372036854775807}`,
		"tw/inbox/" + queuePool + "/odd": `{"kind":"cancel","id":"00000000000000a1"}`,
		"tw/orders":                      "\xff",
	}
}

// oddRecords are records of submissions that no daemon can work with.
func oddRecords() map[tw.Key]string {
	submission := func(id, steps string) string {
		return fmt.Sprintf(`{"pool":%q,"submission":{"id":%q,"policy":{"route":"r","pool":%q,"attempts":3},"steps":%s}}`, queuePool, id, queuePool, steps)
	}
	return map[tw.Key]string{
		"tw/submission/00000000000000f1":                 submission("00000000000000f1", `[{"count":1,"after":[5]}]`),
		"tw/submission/00000000000000f2":                 submission("00000000000000f2", `[{"count":1,"need":{"cpu":1000}}]`),
		"tw/progress/" + queuePool + "/00000000000000f2": `{"repetitions":{"0":{"steps":{"0":null}}}}`,
		"tw/submission/00000000000000f3":                 submission("00000000000000f3", `[{"count":9223372036854775807}]`),
		"tw/submission/00000000000000f4":                 submission("00000000000000f4", `[]`),
	}
}

var _ = Describe("odd items of other writers in the store", func() {
	steps := []tw.Step{{Count: 6, Need: tw.Resources{CPU: 1000}, Estimate: 300 * time.Millisecond}}

	It("end no process, and the others are followed", func() {
		r := newQueueRig(2)
		r.submit("d1", "00000000000000a0", steps)
		Eventually(func() string { return r.state("d1", "00000000000000a0") }, 30*time.Second, 100*time.Millisecond).Should(ContainSubstring("completed"))
		odd := oddEntries(r.callerAddress("d2"))
		for key, value := range odd {
			r.kv.Put(key, []byte(value))
		}
		r.submit("d2", "00000000000000a1", steps)
		completed := func(id string) {
			GinkgoHelper()
			Eventually(func() string { return r.state("d3", id) }, 30*time.Second, 100*time.Millisecond).Should(ContainSubstring("completed"))
		}
		completed("00000000000000a1")
		for n := range 200 {
			r.kv.Put("servers/replaced", fmt.Appendf(nil, `{"service":%q,"state":"state %d","labels":%s}`, queuePool, n, strings.Repeat("[", n)))
			time.Sleep(10 * time.Millisecond)
		}
		r.addWorker(2)
		// Each worker has room for one of these, so that the new one must be in use.
		r.submit("d1", "00000000000000a2", []tw.Step{{Count: 3, Need: tw.Resources{CPU: 4000}, Estimate: 2 * time.Second}})
		Eventually(func() int { return r.fleet.SubmissionRuns("00000000000000a2") }, 20*time.Second, 50*time.Millisecond).Should(Equal(3))
		completed("00000000000000a2")
		r.configure(2)
		Eventually(func() int {
			status, _ := r.call("d1", http.MethodGet, versionPath(2), "")
			return status
		}, 10*time.Second, 100*time.Millisecond).Should(Equal(http.StatusOK))
		for id, daemon := range r.daemons {
			Expect(daemon.running()).To(BeTrue(), id)
		}
		Expect(r.fleet.Violations()).To(BeEmpty())
	})

	It("do not end the daemons that take over the pool", func() {
		r := newQueueRig(2)
		r.submit("d1", "00000000000000b0", steps)
		Eventually(r.owner, 30*time.Second, 50*time.Millisecond).ShouldNot(BeEmpty())
		owner := r.owner()
		for key, value := range oddRecords() {
			r.kv.Put(key, []byte(value))
		}
		r.daemons[owner].kill()
		survivors := 0
		for _, id := range []string{"d1", "d2", "d3"} {
			if id == owner {
				continue
			}
			survivors++
			r.submit(id, fmt.Sprintf("00000000000000c%d", survivors), steps)
			Eventually(func() string { return r.state(id, "00000000000000b0") }, 30*time.Second, 100*time.Millisecond).Should(ContainSubstring("completed"))
			Expect(r.daemon(id).running()).To(BeTrue(), id)
		}
		Expect(r.fleet.Violations()).To(BeEmpty())
	})

	It("do not end the daemons that are sent odd numbers", func() {
		r := newQueueRig(2)
		r.submit("d1", "00000000000000d0", steps)
		Eventually(r.owner, 30*time.Second, 50*time.Millisecond).ShouldNot(BeEmpty())
		Eventually(func() string { return r.state("d1", "00000000000000d0") }, 30*time.Second, 100*time.Millisecond).Should(ContainSubstring("completed"))
		for n, body := range []string{
			`{"steps":[{"count":1,"cpu":1000}],"maxRuns":1,"startAtMs":253402300800000}`,
			`{"steps":[{"count":1,"cpu":1000}],"maxRuns":2,"startAtMs":9223372036854775807,"intervalMs":9223372036854775807}`,
		} {
			for _, id := range []string{"d1", "d2", "d3"} {
				r.call(id, http.MethodPost, fmt.Sprintf("/x/00000000000000e%d", n), body)
			}
		}
		r.submit("d2", "00000000000000d1", steps)
		for _, id := range []string{"d1", "d2", "d3"} {
			Eventually(func() string { return r.state(id, "00000000000000d1") }, 30*time.Second, 100*time.Millisecond).Should(ContainSubstring("completed"))
			Expect(r.daemon(id).running()).To(BeTrue(), id)
		}
	})
})
