package platform

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"cassialatch.dev/wire/platformapi"
	"github.com/cockroachdb/errors"
)

// LoadDir publishes the files of a directory: base.toml as the base document, each
// site-NAME.toml as the document site/NAME, and vms.json, a JSON array of VMs, as the
// VM list. The documents get version 1.
func (p *Platform) LoadDir(dir string) error {
	if err := p.loadDocument(filepath.Join(dir, "base.toml"), platformapi.DocumentBase); err != nil {
		return err
	}
	overlays, err := filepath.Glob(filepath.Join(dir, "site-*.toml"))
	if err != nil {
		return errors.Wrap(err, "list overlay files")
	}
	for _, file := range overlays {
		site := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(file), "site-"), ".toml")
		if err := p.loadDocument(file, platformapi.DocumentSitePrefix+site); err != nil {
			return err
		}
	}
	return p.loadVMs(filepath.Join(dir, "vms.json"))
}

func (p *Platform) loadDocument(file, name string) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	p.PutDocument(name, string(body), 1)
	return nil
}

func (p *Platform) loadVMs(file string) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read VM list")
	}
	var vms []platformapi.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return errors.Wrapf(err, "parse VM list %s", file)
	}
	p.PutVMs(vms)
	return nil
}
