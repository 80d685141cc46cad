package aqstandin

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

func postJSON(client *http.Client, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode stand-in call")
	}
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "stand-in call")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("stand-in call: %s", response.Status)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(out), "decode stand-in answer")
}
