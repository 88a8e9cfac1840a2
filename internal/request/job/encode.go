package job

import (
	"bytes"
	"encoding/json"
)

// Encode returns the job as JSON from which Parse returns the same job. Characters in
// payloads are not escaped for HTML, so the digest also stays the same.
func (s *Spec) Encode() ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(s); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
