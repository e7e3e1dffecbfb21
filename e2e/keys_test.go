package e2e

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// configureKeys writes a configuration with one organisation. keys is the JSON list of its API
// keys, without the brackets.
func (r *queueRig) configureKeys(version int, keys string) {
	r.kv.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":%q,"pathPrefix":"/x/","timeoutMs":5000,`+
		`"targetLatencyMs":600,"service":%q,"attempts":3,"stretch":1.6}],"services":[{"name":%q}],"limits":{"maxBodyBytes":100000},`+
		`"tenants":[{"name":"red","apiKeys":[%s],"weight":5,"maximum":{"cpu":8000,"memMb":0,"gpu":0}}]}`,
		version, queueHost, queuePool, queuePool, keys))
}

var _ = Describe("API keys with real processes", func() {
	It("are applied and revoked at a daemon whose store connections are reset, as it learns of them from a peer", func() {
		r := newPlatformRig(latencies{})
		r.contracts = `contracts = ["sched", "tenants", "quota"]`
		r.configureKeys(1, `"kx1","kx2"`)
		for n := range 3 {
			r.addWorker(n)
		}
		r.store = startServer(r.kv.Handler())
		machines := startServer(r.cloud.Handler())
		storeProxy := newProxy(r.store)
		r.start("d1", r.store, machines)
		r.start("d2", r.store, machines)
		r.start("d3", storeProxy.address(), machines)
		status := func(key, daemon string) func() int {
			return func() int {
				status, _ := r.callWithKey(key, daemon, "GET", "/x/", "")
				return status
			}
		}
		for _, daemon := range []string{"d1", "d2", "d3"} {
			Eventually(status("kx1", daemon), 30*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
			Expect(status("", daemon)()).To(Equal(http.StatusUnauthorized))
			Expect(status("kx3", daemon)()).To(Equal(http.StatusUnauthorized))
		}
		storeProxy.set(linkReset)
		time.Sleep(time.Second)
		r.configureKeys(4, `"kx2","kx3"`)
		const applyTimeout = 3 * time.Second
		Eventually(status("kx3", "d3"), applyTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK))
		Expect(status("kx1", "d3")()).To(Equal(http.StatusUnauthorized))
		Expect(status("kx2", "d3")()).To(Equal(http.StatusOK))
	})
})
