package daemon

import (
	"encoding"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/tomlfile"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // the same order in every run
	RunSpecs(t, "daemon", suite, reporter)
}

const validSettings = `id = "d"
hall = "h"
instance = "i"
[listen]
gateway = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
url = "http://127.0.0.1:7000"
`

// settingsCase is a file and its faults, each as "line field".
type settingsCase struct {
	source string
	faults []string
}

var settingsCases = map[string]settingsCase{
	"only the required keys": {source: validSettings},
	"no content":             {source: "", faults: []string{"0 id", "0 hall", "0 instance", "0 listen.gateway", "0 listen.peer", "0 listen.admin", "0 platform.url"}},
	"an unknown key":         {source: validSettings + "[log]\nlevle = \"info\"\n", faults: []string{"11 log.levle"}},
	"several faults at once": {source: strings.Replace(validSettings, `"127.0.0.1:0"`, `"localhost"`, 1) + "timeout = \"soon\"\ncolour = 1\n[limits]\nbody = -1\n", faults: []string{"10 platform.timeout", "11 platform.colour", "13 limits.body", "5 listen.gateway"}},
	"held_body above body":   {source: validSettings + "[limits]\nbody = 10\nheld_body = 20\n", faults: []string{"12 limits.held_body"}},
	"no TOML":                {source: "id = \n", faults: []string{"1 file", "0 hall", "0 id", "0 instance", "0 listen.admin", "0 listen.gateway", "0 listen.peer", "0 platform.url"}},
}

var fleetCases = map[string]settingsCase{
	"an empty configuration": {source: "", faults: []string{"0 halls"}},
	"bad references and selectors": {
		source: "halls = [\"h\"]\n[[pools]]\nid = \"p\"\ninstances = \"a==\"\njobs = \"x in (\"\n[[jobs]]\nid = \"j\"\nservice = \"none\"\n[[services]]\nid = \"s\"\n[[services.routes]]\npath = \"x\"\njob = \"k\"\n",
		faults: []string{"5 pools.jobs", "12 services[0].routes[0].path", "13 services[0].routes[0].job", "8 jobs[0].service"},
	},
	"a duplicate name": {
		source: "halls = [\"h\"]\n[[teams]]\nid = \"a\"\n[[teams]]\nid = \"a\"\n",
		faults: []string{"5 teams[1].id"},
	},
	"the reserved pool": {
		source: "halls = [\"h\"]\n[[pools]]\nid = \"spare\"\ninstances = \"a\"\njobs = \"b\"\n",
		faults: []string{"3 pools[0].id"},
	},
}

var _ = Describe("a settings file", func() {
	for _, name := range slices.Sorted(maps.Keys(settingsCases)) {
		It("with "+name, func() {
			Expect(faultsOf(settingsCases[name].source, &Settings{})).To(ConsistOf(settingsCases[name].faults))
		})
	}
})

var _ = Describe("a fleet configuration", func() {
	for _, name := range slices.Sorted(maps.Keys(fleetCases)) {
		It("with "+name, func() {
			Expect(faultsOf(fleetCases[name].source, &tw.FleetConfig{})).To(ContainElements(fleetCases[name].faults))
		})
	}
})

var _ = Describe("docs/SETTINGS.md", func() {
	It("has every key of both files", func() {
		page, err := os.ReadFile("../docs/SETTINGS.md")
		Expect(err).NotTo(HaveOccurred())
		keys := slices.Concat(keysOf(reflect.TypeFor[Settings](), ""), keysOf(reflect.TypeFor[tw.FleetConfig](), ""))
		Expect(len(keys)).To(BeNumerically(">", 40))
		for _, key := range keys {
			Expect(string(page)).To(ContainSubstring("| `" + key + "` |"))
		}
	})
})

func faultsOf(source string, v tomlfile.Validator) []string {
	err := tomlfile.Decode([]byte(source), v)
	var faults tw.ValidationErrors
	if err != nil && !errors.As(err, &faults) {
		Fail(err.Error())
	}
	var out []string
	for _, f := range faults {
		out = append(out, strings.TrimPrefix(strings.Split(f.String(), ":")[0], "line ")+" "+f.Field)
		if f.Line == 0 {
			out[len(out)-1] = "0 " + f.Field
		}
	}
	return out
}

// keysOf lists the TOML keys of a struct, with "[]" after the key of each list of tables.
func keysOf(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("toml")
		if name == "" {
			continue
		}
		out = append(out, keysIn(f.Type, prefix+name)...)
	}
	return out
}

func keysIn(t reflect.Type, name string) []string {
	switch {
	case reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
		return []string{name}
	case t.Kind() == reflect.Struct:
		return keysOf(t, name+".")
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return keysOf(t.Elem(), name+"[].")
	}
	return []string{name}
}
