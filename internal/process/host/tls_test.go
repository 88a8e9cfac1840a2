package host_test

import (
	"bytes"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/process/tool"
	"wasabifield.example/wasabifield/internal/standin/certificate"
)

func TestToolReachesAHostThatServesHTTPS(t *testing.T) {
	g := NewWithT(t)
	own, other := certificate.NewAuthority(t), certificate.NewAuthority(t)
	files := own.IssueHostFiles(t, own)
	f := startFleetWith(t, func(_ string, s *settings.Settings) {
		s.HTTPTLS = settings.HTTPTLS{CertFile: files.CertFile, KeyFile: files.KeyFile}
	}, "a1")
	address := f.hosts["a1"].HTTPAddress
	hosts := func(flags ...string) (int, string) {
		var out bytes.Buffer
		code := tool.Main(append([]string{"hosts", "--host", address}, flags...), &out, &out)
		return code, out.String()
	}
	g.Eventually(func() int { code, _ := hosts("--ca", own.CertificateFile); return code }, eventuallyTimeout, pollInterval).Should(BeZero())
	_, text := hosts("--ca", own.CertificateFile)
	g.Expect(text).To(ContainSubstring("a1"))
	code, _ := hosts("--ca", other.CertificateFile)
	g.Expect(code).NotTo(BeZero())
	response, err := http.Get("http://" + address + wire.PathHosts)
	g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
}
