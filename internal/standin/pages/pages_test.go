package pages

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/failure"
)

const root = "../../.."

func page(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// settingNames returns the names of all settings of a struct type, but for
// those inside lists.
func settingNames(prefix string, of reflect.Type) []string {
	var names []string
	for field := range of.Fields() {
		name := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct {
			names = append(names, settingNames(name+".", field.Type)...)
			continue
		}
		names = append(names, name)
	}
	return names
}

func TestOperationsPageListsEverySetting(t *testing.T) {
	g := NewWithT(t)
	text := page(t, "docs/OPERATIONS.md")
	for _, name := range settingNames("", reflect.TypeFor[settings.Settings]()) {
		g.Expect(text).To(ContainSubstring("`" + name + "`"))
	}
}

func TestOperationsPageListsEveryErrorKind(t *testing.T) {
	g := NewWithT(t)
	text := page(t, "docs/OPERATIONS.md")
	for _, kind := range failure.Kinds() {
		g.Expect(text).To(ContainSubstring("| `" + string(kind) + "` |"))
	}
}

func TestDesignPageListsEveryDesignNote(t *testing.T) {
	g := NewWithT(t)
	text := page(t, "docs/DESIGN.md")
	notes, err := filepath.Glob(filepath.Join(root, "docs/design/*.md"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, note := range notes {
		g.Expect(text).To(ContainSubstring("(design/" + filepath.Base(note) + ")"))
	}
}

func TestExampleSettingsAreValid(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob(filepath.Join(root, "docs/examples/*.yaml"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		_, err := settings.Load(file)
		g.Expect(err).NotTo(HaveOccurred(), file)
	}
}

func TestLinksBetweenPagesLeadSomewhere(t *testing.T) {
	g := NewWithT(t)
	pages, err := filepath.Glob(filepath.Join(root, "docs/*.md"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, file := range append(pages, filepath.Join(root, "README.md")) {
		text, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		for _, part := range strings.Split(string(text), "](")[1:] {
			link, _, _ := strings.Cut(part, ")")
			if !strings.Contains(link, "://") {
				_, err := os.Stat(filepath.Join(filepath.Dir(file), link))
				g.Expect(err).NotTo(HaveOccurred(), file)
			}
		}
	}
}
