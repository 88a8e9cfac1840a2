package launch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/settings"
)

const (
	readyPoll    = 20 * time.Millisecond
	readyTimeout = time.Second // of one question
)

// WriteSettings writes s as YAML into folder and returns the file's name.
func WriteSettings(folder string, s settings.Settings) (string, error) {
	text, err := yaml.Marshal(s)
	if err != nil {
		return "", err
	}
	file := SettingsFile(folder, s)
	return file, os.WriteFile(file, text, 0o600)
}

// SettingsFile returns the name of the file that WriteSettings writes.
func SettingsFile(folder string, s settings.Settings) string {
	return filepath.Join(folder, s.Host+".yaml")
}

// SetPeers makes each of hosts know the others, all with the address that peer
// returns for the link.
func SetPeers(hosts []settings.Settings, peer func(from, to settings.Settings) string) {
	for i := range hosts {
		hosts[i].Peers = nil
		for j, other := range hosts {
			if i == j {
				continue
			}
			hosts[i].Peers = append(hosts[i].Peers, settings.Peer{
				Host:   other.Host,
				Domain: other.Domain,
				Region: other.Region,
				Peer:   peer(hosts[i], other),
				Disk:   other.DataFolder != "",
			})
		}
	}
}

// WaitUntilReady polls the readiness of the entry host at address until it accepts
// work.
func WaitUntilReady(ctx context.Context, address string) error {
	client := &http.Client{Timeout: readyTimeout}
	for {
		response, err := client.Get("http://" + address + wire.PathReady)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("entry host at %s is not ready: %w", address, err)
		case <-time.After(readyPoll):
		}
	}
}

// WaitForTargets polls the entry host at address until it lists at least count
// targets.
func WaitForTargets(ctx context.Context, address string, count int) error {
	client := &http.Client{Timeout: readyTimeout}
	for {
		listed, err := countTargets(client, address)
		if err == nil && listed >= count {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("entry host at %s lists %d of %d targets: %w", address, listed, count, errors.Join(err, ctx.Err()))
		case <-time.After(readyPoll):
		}
	}
}

// countTargets returns the length of the list at wire.PathTargets, which is an
// array or an object with the array in "targets".
func countTargets(client *http.Client, address string) (int, error) {
	response, err := client.Get("http://" + address + wire.PathTargets)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) == nil {
		return len(list), nil
	}
	var object struct {
		Targets []json.RawMessage `json:"targets"`
	}
	err = json.Unmarshal(raw, &object)
	return len(object.Targets), err
}
