package settings

import (
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/samber/oops"
	"go.yaml.in/yaml/v3"
)

// Load reads and checks the settings in the YAML file. It returns an error if the file
// cannot be read or Parse rejects its text.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, oops.In("settings").Wrap(err)
	}
	return Parse(text)
}

// Parse decodes the YAML text over the defaults and checks the result. An unknown
// field is an error, and so is any fault that Check finds.
func Parse(text []byte) (Settings, error) {
	s := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, oops.In("settings").Wrap(err)
	}
	if err := s.Check(); err != nil {
		return Settings{}, oops.In("settings").Wrap(err)
	}
	return s, nil
}
