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
		"exits":       checkExitCode,
	})
}

// checkExitCode is the script command "exits CODE ARGS...": it runs the tool with
// ARGS and fails unless the exit code is CODE.
func checkExitCode() {
	if code := tool.Main(os.Args[2:], os.Stdout, os.Stderr); os.Args[1] != string(rune('0'+code)) {
		_, _ = os.Stderr.WriteString("exit code " + string(rune('0'+code)) + "\n")
		os.Exit(1)
	}
}

func scriptParams(folder string) testscript.Params {
	return testscript.Params{
		Dir:  folder,
		Cmds: scriptCommands,
		Setup: func(env *testscript.Env) error {
			s := newFakeSystem()
			env.Defer(s.close)
			env.Values[systemKey{}] = s
			// By default the race detector delays the exit of every process by a second.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			env.Setenv("HOST", s.hosts[0].server.Listener.Addr().String())
			env.Setenv("HOST1", s.hosts[0].server.Listener.Addr().String())
			env.Setenv("HOST2", s.hosts[1].server.Listener.Addr().String())
			return nil
		},
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, scriptParams("testdata"))
}

// operatorPages are the pages whose commands run as written, each with the least number
// of commands on it.
var operatorPages = map[string]int{"bundle": 20, "evacuation-tool": 10}

// TestTheOperatorsPagesRunAsWritten guards against a page whose commands fail or
// print something else. It runs every command of the page: the lines of its sh
// blocks that begin with "$ ". The lines that follow a command must occur in its
// output; a line that begins with "wasabifield: " must occur on standard error, and
// the command must then fail. The yaml blocks are files, each named by the comment
// in its first line. A comment "<!-- run: STEP -->" is a step of the script that
// readers of the page don't see.
func TestTheOperatorsPagesRunAsWritten(t *testing.T) {
	for name, commands := range operatorPages {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			page, err := os.ReadFile("../../../docs/operations/" + name + ".md")
			g.Expect(err).NotTo(HaveOccurred())
			s := parsePage(string(page))
			g.Expect(s.commands).To(BeNumerically(">=", commands), "commands on the page")
			folder := t.TempDir()
			text := s.steps.String() + s.files.String()
			g.Expect(os.WriteFile(filepath.Join(folder, "page.txtar"), []byte(text), 0o600)).To(Succeed())
			testscript.Run(t, scriptParams(folder))
		})
	}
}

// pageScript is a testscript archive made from a page.
type pageScript struct {
	steps, files strings.Builder
	commands     int
}

var hiddenStepPattern = regexp.MustCompile(`(?m)^<!-- run: (.*) -->$`)

func parsePage(page string) *pageScript {
	s := &pageScript{}
	for i, section := range strings.Split(page, "\n```") {
		if i%2 == 0 {
			for _, step := range hiddenStepPattern.FindAllStringSubmatch(section, -1) {
				s.steps.WriteString(step[1] + "\n")
			}
			continue
		}
		language, body, _ := strings.Cut(section, "\n")
		switch language {
		case "yaml":
			name, _, _ := strings.Cut(strings.TrimPrefix(body, "# "), "\n")
			s.files.WriteString("-- " + name + " --\n" + body + "\n")
		case "sh":
			s.addCommands(body)
		}
	}
	return s
}

// addCommands adds the commands of one sh block, each with its expected output.
func (s *pageScript) addCommands(block string) {
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
			s.addExpectedLine(line)
		}
		s.commands++
	}
}

func (s *pageScript) addExpectedLine(line string) {
	stream := "stdout"
	if strings.HasPrefix(line, "wasabifield: ") {
		stream = "stderr"
	}
	if line != "" {
		s.steps.WriteString(stream + " '" + linePattern(line) + "'\n")
	}
}

// linePattern returns a regular expression that matches a line of the page. A run
// of spaces matches one or more spaces, and "..." matches any text.
func linePattern(line string) string {
	parts := strings.Split(strings.Join(strings.Fields(line), " "), "...")
	for i, part := range parts {
		part = strings.ReplaceAll(regexp.QuoteMeta(part), "'", ".")
		parts[i] = strings.ReplaceAll(part, " ", " +")
	}
	return strings.Join(parts, ".*")
}
