package e2e

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// configureKeys writes a configuration in which one organisation has these keys.
func (r *queueRig) configureKeys(version int, keys string) {
	r.kv.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":%q,"pathPrefix":"/x/","timeoutMs":5000,`+
		`"targetLatencyMs":600,"service":%q,"attempts":3,"stretch":1.6}],"services":[{"name":%q}],"limits":{"maxBodyBytes":100000},`+
		`"tenants":[{"name":"red","apiKeys":[%s],"weight":5,"maximum":{"cpu":8000,"memMb":0,"gpu":0}}]}`,
		version, queueHost, queuePool, queuePool, keys))
}

var _ = Describe("keys with real processes", func() {
	It("open and close at a daemon that the store turns away, which learns of them from a peer", func() {
		r := newPlatformRig(latencies{})
		r.contracts = `contracts = ["sched", "tenants", "quota"]`
		r.configureKeys(1, `"kx1","kx2"`)
		for n := range 3 {
			r.addWorker(n)
		}
		r.store = startServer(r.kv.Handler())
		machines := startServer(r.cloud.Handler())
		way := newProxy(r.store)
		r.start("d1", r.store, machines)
		r.start("d2", r.store, machines)
		r.start("d3", way.address(), machines)
		count := func(key, daemon string) func() int {
			return func() int {
				status, _ := r.callWithKey(key, daemon, "GET", "/x/", "")
				return status
			}
		}
		for _, daemon := range []string{"d1", "d2", "d3"} {
			Eventually(count("kx1", daemon), 30*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
			Expect(count("", daemon)()).To(Equal(http.StatusUnauthorized))
			Expect(count("kx3", daemon)()).To(Equal(http.StatusUnauthorized))
		}
		way.set(linkReset)
		time.Sleep(time.Second)
		r.configureKeys(4, `"kx2","kx3"`)
		const applied = 3 * time.Second
		Eventually(count("kx3", "d3"), applied, 20*time.Millisecond).Should(Equal(http.StatusOK))
		Expect(count("kx1", "d3")()).To(Equal(http.StatusUnauthorized))
		Expect(count("kx2", "d3")()).To(Equal(http.StatusOK))
	})
})
