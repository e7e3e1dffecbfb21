// Package e2e tests the product as separate processes under injected faults.
package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// bin is the directory with the programs built for the test run.
var bin string

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // runs the specs in the same order every time
	RunSpecs(t, "separate processes", suite, reporter)
}

var _ = BeforeSuite(func() {
	var err error
	bin, err = os.MkdirTemp("", "tamarind-e2e")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, bin)
	for _, name := range []string{"tamarindd", "tamarind", "tamarind-standin"} {
		out, err := exec.Command("go", "build", "-race", "-o", filepath.Join(bin, name), "../cmd/"+name).CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	}
})
