package profiles_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/profiles"
)

func TestProfilesAreServed(t *testing.T) {
	g := NewWithT(t)
	mux := http.NewServeMux()
	profiles.Register(mux)
	for _, name := range []string{"", "goroutine", "heap", "cmdline"} {
		response := httptest.NewRecorder()
		mux.ServeHTTP(response, httptest.NewRequest("GET", profiles.Path+name, nil))
		g.Expect(response.Code).To(Equal(http.StatusOK), name)
	}
}
