package daemon

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// templateValues are the values that the platform fills into the template.
var templateValues = map[string]string{
	"nodeName": "edge-a-1", "zone": "a", "ip": "10.1.0.9", "bindAddrs.front": "10.1.0.9:1", "bindAddrs.readiness": "10.1.0.9:2",
	"bindAddrs.control": "10.1.0.9:3", "platform.address": "10.2.0.1:4", "platform.ttl_min_ms": "1000", "cloudApi.address": "10.2.0.1:5",
	"advice": "10.2.0.1:6", "limits.memoryMb": "284", "limits.cpuShare": "0.4", "limits.linkMbps": "200", "bounds.maxHoldMs": "10000", "bounds.stop_ms": "400",
	"bounds.harm_ms": "4000", "bounds.pace_ms": "100", "bounds.status_s": "120", "bounds.far_x": "2", "bounds.leaseMs": "3000",
	"bounds.move_s": "1.5", "bounds.upkeep_s": "2", "bounds.graceS": "6",
}

var (
	sections     = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	placeholders = regexp.MustCompile(`\{\{([^#/}]+)\}\}`)
)

// fillTemplate fills the template as the platform does. It implements only what the template uses.
func fillTemplate(t *testing.T, values map[string]string) string {
	text, err := os.ReadFile("../deploy/settings.toml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	out := sections.ReplaceAllStringFunc(string(text), func(section string) string {
		parts := sections.FindStringSubmatch(section)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return placeholders.ReplaceAllStringFunc(out, func(placeholder string) string { return values[strings.Trim(placeholder, "{}")] })
}

func loadQueueSettings(t *testing.T, text string) (QueueSettings, error) {
	path := t.TempDir() + "/settings.toml"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadQueueSettings(path)
}

// The template that the platform fills must give valid settings with the platform's values.
func TestSettingsTemplate(t *testing.T) {
	g := NewWithT(t)
	s, err := loadQueueSettings(t, fillTemplate(t, templateValues))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ID).To(Equal(tw.DaemonID("edge-a-1")))
	g.Expect(s.Listen.Metrics).To(Equal("10.1.0.9:9464"))
	g.Expect(s.Bounds.MaxHold.Std()).To(Equal(10 * time.Second))
	g.Expect(s.Bounds.StopTime.Std()).To(Equal(400 * time.Millisecond))
	g.Expect(s.Limits.Cores).To(Equal(tw.Cores(0.4)))
	g.Expect(s.Limits.LinkMbps).To(Equal(200.0))
}

// Settings for which a deployment provides no value must keep their defaults.
func TestSettingsTemplateWithFewFields(t *testing.T) {
	g := NewWithT(t)
	few := map[string]string{}
	for name, value := range templateValues {
		if !strings.HasPrefix(name, "bounds.") && !strings.HasPrefix(name, "limits.") && name != "advice" {
			few[name] = value
		}
	}
	s, err := loadQueueSettings(t, fillTemplate(t, few))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Bounds.MaxHold.Std()).To(Equal(6 * time.Second))
	g.Expect(s.Platform.Advice).To(BeEmpty())
}

// badQueueSettings are invalid files with the fields that the error must name.
var badQueueSettings = map[string]struct {
	text       string
	wantFields []string
}{
	"empty": {wantFields: []string{"id", "hall", "listen.callers", "listen.readiness", "listen.peers", "platform.store", "platform.machines"}},
	"unknown key": {
		text: "id = \"a\"\nhal = \"h\"\n", wantFields: []string{"hal"},
	},
	"bad values": {
		text: "id=\"a\"\nhall=\"h\"\n[listen]\ncallers=\"x\"\nreadiness=\"1.1.1.1:1\"\npeers=\"1.1.1.1:2\"\n" +
			"[platform]\nstore=\"1.1.1.1:3\"\nmachines=\"1.1.1.1:4\"\n[bounds]\nmax_hold=\"-1s\"\nstop_grace=\"0s\"\n[limits]\nlink_mbps=-1\n[log]\nlevel=\"loud\"\n",
		wantFields: []string{"listen.callers", "bounds.max_hold", "limits.link_mbps", "log.level"},
	},
}

func TestQueueSettingsReportAllFaults(t *testing.T) {
	for name, c := range badQueueSettings {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := loadQueueSettings(t, c.text)
			var faults tw.ValidationErrors
			g.Expect(errors.As(err, &faults)).To(BeTrue())
			for _, field := range c.wantFields {
				g.Expect(err.Error()).To(ContainSubstring(field))
			}
		})
	}
}
