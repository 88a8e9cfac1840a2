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
	readyPollInterval  = 20 * time.Millisecond
	pollRequestTimeout = time.Second // for one HTTP request
)

// WriteSettings writes s as YAML into folder and returns the path of the file,
// which is also returned with a write error.
func WriteSettings(folder string, s settings.Settings) (string, error) {
	text, err := yaml.Marshal(s)
	if err != nil {
		return "", err
	}
	file := SettingsFile(folder, s)
	return file, os.WriteFile(file, text, 0o600)
}

// SettingsFile returns the path of the file that WriteSettings writes for s.
func SettingsFile(folder string, s settings.Settings) string {
	return filepath.Join(folder, s.Host+".yaml")
}

// SetPeers replaces the peers of each of hosts by all the other hosts.
// peerAddress returns the address at which the host from reaches the host to.
func SetPeers(hosts []settings.Settings, peerAddress func(from, to settings.Settings) string) {
	for i := range hosts {
		hosts[i].Peers = nil
		for j, other := range hosts {
			if i == j {
				continue
			}
			hosts[i].Peers = append(hosts[i].Peers, settings.Peer{
				Host:    other.Host,
				Domain:  other.Domain,
				Region:  other.Region,
				Address: peerAddress(hosts[i], other),
				HasDisk: other.DataFolder != "",
			})
		}
	}
}

// WaitUntilReady polls the readiness endpoint of the entry host at address until
// the host accepts jobs. It returns an error with the last failure once ctx is
// done.
func WaitUntilReady(ctx context.Context, address string) error {
	client := &http.Client{Timeout: pollRequestTimeout}
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
		case <-time.After(readyPollInterval):
		}
	}
}

// WaitForTargets polls the entry host at address until the host lists at least
// count targets. It returns an error with the last count once ctx is done.
func WaitForTargets(ctx context.Context, address string, count int) error {
	client := &http.Client{Timeout: pollRequestTimeout}
	for {
		listed, err := countTargets(client, address)
		if err == nil && listed >= count {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("entry host at %s lists %d of %d targets: %w", address, listed, count, errors.Join(err, ctx.Err()))
		case <-time.After(readyPollInterval):
		}
	}
}

// countTargets returns the number of targets listed at wire.PathTargets. The
// response is a JSON array, or an object with the array in "targets".
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
