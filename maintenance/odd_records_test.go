package maintenance_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/platform"
)

// oddWaves are waves of the machines m1 and m2 with odd values.
var oddWaves = map[string]string{
	"maximum of 19 digits":      `{"wave":1,"machines":["m1","m2"],"durationS":30,"maximum":9223372036854775807}`,
	"maximum below 0":           `{"wave":1,"machines":["m1","m2"],"durationS":30,"maximum":-9223372036854775808}`,
	"due time, 1e308":           `{"wave":1,"machines":["m1","m2"],"durationS":1e308,"maximum":1}`,
	"due time below 0":          `{"wave":1,"machines":["m1","m2"],"durationS":-1e308,"maximum":1}`,
	"machines again":            `{"wave":1,"machines":["m1","m2","m1","m1","m2"],"durationS":30,"maximum":1}`,
	"machines that don't exist": `{"wave":1,"machines":["m1","m2","","\n","m9"` + strings.Repeat(`,"mx"`, 10_000) + `],"durationS":30,"maximum":1}`,
}

// TestOddWaves guards against a wave that is never done because of an odd value.
func TestOddWaves(t *testing.T) {
	for name, body := range oddWaves {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newFixture(t)
				defer o.machineCache.Close()
				for _, id := range []tw.InstanceID{"m1", "m2", "m3", "m4"} {
					o.addMachine(id, 0)
				}
				wave, err := platform.DecodeWave(tw.KVItem{Key: platform.WavePrefix + "1", Value: []byte(body)})
				o.Expect(err).NotTo(HaveOccurred())
				o.waves = append(o.waves, wave)
				m := o.startManager("a")
				defer m.Close()
				time.Sleep(30 * time.Second)
				o.Expect(o.status()).To(MatchJSON(`{"state":"completed"}`))
				done := map[tw.InstanceID]int{}
				for _, order := range o.cloud.Orders() {
					if order.Wave == 1 {
						done[order.Machine]++
					}
				}
				o.Expect(done).To(Equal(map[tw.InstanceID]int{"m1": 1, "m2": 1}))
			})
		})
	}
}

// oddOrderRecords are records of the last changes of machines that cannot be used as they are.
var oddOrderRecords = map[string]string{
	"bytes":       "\xff",
	"too deep":    strings.Repeat("[", 200_000),
	"no time":     `{"m1":7}`,
	"late time":   `{"m1":"9999-12-31T23:59:59Z"}`,
	"early time":  `{"m1":"0001-01-01T00:00:00Z"}`,
	"odd machine": `{"\n":"2026-01-01T00:00:00Z"}`,
}

// TestOddOrderRecord guards against a fleet that no manager takes care of, as none can read which
// machines were changed last. An order may have been given just before.
func TestOddOrderRecord(t *testing.T) {
	for name, record := range oddOrderRecords {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newFixture(t)
				defer o.machineCache.Close()
				for _, id := range []tw.InstanceID{"m1", "m2", "m3", "m4"} {
					o.addMachine(id, 0)
				}
				o.addWave("m1", "m2")
				o.kv.Put("tw/orders", []byte(record))
				began := time.Now()
				m := o.startManager("a")
				defer m.Close()
				time.Sleep(30 * time.Second)
				o.Expect(o.status()).To(MatchJSON(`{"state":"completed"}`))
				if name == "early time" || name == "odd machine" {
					return // readable, and no recent change
				}
				for _, order := range o.cloud.Orders() {
					if order.Machine == "m1" {
						o.Expect(order.At.Sub(began)).To(BeNumerically(">=", 3*time.Second))
					}
				}
			})
		})
	}
}
