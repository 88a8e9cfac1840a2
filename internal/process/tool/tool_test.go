package tool_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/testscript"

	"wasabifield.example/wasabifield/internal/process/tool"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wasabifield": func() { os.Exit(tool.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"exits":       exits,
	})
}

// exits runs the tool and checks its exit code: exits CODE ARGS...
func exits() {
	if code := tool.Main(os.Args[2:], os.Stdout, os.Stderr); os.Args[1] != string(rune('0'+code)) {
		_, _ = os.Stderr.WriteString("exit code " + string(rune('0'+code)) + "\n")
		os.Exit(1)
	}
}

func params(folder string) testscript.Params {
	return testscript.Params{
		Dir:  folder,
		Cmds: commands,
		Setup: func(env *testscript.Env) error {
			s := newSite()
			env.Defer(s.close)
			env.Values[siteKey{}] = s
			// The race detector would let each of the tool's processes sleep at its end.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			env.Setenv("HOST", s.hosts[0].server.Listener.Addr().String())
			env.Setenv("HOST1", s.hosts[0].server.Listener.Addr().String())
			env.Setenv("HOST2", s.hosts[1].server.Listener.Addr().String())
			return nil
		},
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, params("testdata"))
}

const operatorPage = "../../../docs/operations/bundle.md"

// TestTheOperatorsPageRunsAsWritten runs every command of the page: the lines
// of its sh blocks that begin with "$ ". The lines that follow a command must
// occur in what it prints; one that begins with "wasabifield: " is on standard
// error and says that the command must fail. Its yaml blocks are files, named
// by the comment in their first line. A comment "<!-- run: STEP -->" is a step of
// the script that the page does not show.
func TestTheOperatorsPageRunsAsWritten(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(operatorPage)
	g.Expect(err).NotTo(HaveOccurred())
	s := scriptOf(string(page))
	g.Expect(s.commands).To(BeNumerically(">=", 20), "commands on the page")
	folder := t.TempDir()
	text := s.steps.String() + s.files.String()
	g.Expect(os.WriteFile(filepath.Join(folder, "page.txtar"), []byte(text), 0o600)).To(Succeed())
	testscript.Run(t, params(folder))
}

// script is a page as a script.
type script struct {
	steps, files strings.Builder
	commands     int
}

var hiddenStep = regexp.MustCompile(`(?m)^<!-- run: (.*) -->$`)

func scriptOf(page string) *script {
	s := &script{}
	for i, part := range strings.Split(page, "\n```") {
		if i%2 == 0 {
			for _, step := range hiddenStep.FindAllStringSubmatch(part, -1) {
				s.steps.WriteString(step[1] + "\n")
			}
			continue
		}
		kind, body, _ := strings.Cut(part, "\n")
		switch kind {
		case "yaml":
			name, _, _ := strings.Cut(strings.TrimPrefix(body, "# "), "\n")
			s.files.WriteString("-- " + name + " --\n" + body + "\n")
		case "sh":
			s.addBlock(body)
		}
	}
	return s
}

// addBlock adds the commands of one block and what they must print.
func (s *script) addBlock(block string) {
	for _, text := range strings.Split("\n"+block, "\n$ ")[1:] {
		lines := strings.Split(strings.TrimSpace(text), "\n")
		command, file, redirected := strings.Cut(lines[0], " > ")
		if strings.Contains(text, "\nwasabifield: ") {
			command = "! exec " + command
		} else {
			command = "exec " + command
		}
		s.steps.WriteString(command + "\n")
		if redirected {
			s.steps.WriteString("cp stdout " + file + "\n")
		}
		for _, line := range lines[1:] {
			s.addExpected(line)
		}
		s.commands++
	}
}

func (s *script) addExpected(line string) {
	stream := "stdout"
	if strings.HasPrefix(line, "wasabifield: ") {
		stream = "stderr"
	}
	if line != "" {
		s.steps.WriteString(stream + " '" + quote(line) + "'\n")
	}
}

// quote makes a pattern of a line; a run of spaces stands for any such run and
// "..." for any text.
func quote(line string) string {
	parts := strings.Split(strings.Join(strings.Fields(line), " "), "...")
	for i, part := range parts {
		part = strings.ReplaceAll(regexp.QuoteMeta(part), "'", ".")
		parts[i] = strings.ReplaceAll(part, " ", " +")
	}
	return strings.Join(parts, ".*")
}
