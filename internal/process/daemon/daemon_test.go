package daemon_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"wasabifield.example/wasabifield/internal/process/daemon"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wasabifieldd": func() { os.Exit(daemon.Main()) },
		"exits":        checkExitCode,
	})
}

// checkExitCode is the script command "exits CODE ARGS...": it runs the daemon with ARGS
// and fails unless the exit code is CODE.
func checkExitCode() {
	want := os.Args[1]
	os.Args = append(os.Args[:1:1], os.Args[2:]...)
	if code := daemon.Main(); want != string(rune('0'+code)) {
		_, _ = os.Stderr.WriteString("exit code " + string(rune('0'+code)) + "\n")
		os.Exit(1)
	}
}

// TestScripts runs the commands of the daemon that end by themselves. $HOST is a host
// whose document in force is the file in-force.json of the script, if there is one.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			mux := http.NewServeMux()
			mux.HandleFunc("GET /wasabifield/config", func(w http.ResponseWriter, _ *http.Request) {
				text, err := os.ReadFile(env.WorkDir + "/in-force.json")
				if err != nil {
					http.Error(w, "not_ready: no catalog has been accepted", http.StatusServiceUnavailable)
					return
				}
				_, _ = w.Write(text)
			})
			server := httptest.NewServer(mux)
			env.Defer(server.Close)
			env.Setenv("HOST", server.Listener.Addr().String())
			env.Setenv("GORACE", "atexit_sleep_ms=0") // the race detector delays each exit by a second otherwise
			return nil
		},
	})
}
