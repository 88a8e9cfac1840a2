package job

import (
	"bytes"
	"encoding/json"
)

// Encode returns the job as JSON that Parse reads as the same job. Payloads
// keep their characters, so the digest is the same too.
func (s *Spec) Encode() ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(s); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
