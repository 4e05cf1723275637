package examples

import (
	"embed"
	"path"

	"github.com/zeebo/errs"

	"figwheel/site"
)

//go:embed trentside thanh-hoa
var files embed.FS

var examplesError = errs.Class("examples")

// Group describes the workers of one service in a deployment.
type Group struct {
	Service string
	Workers int // number of workers
	Slots   int // slots of each worker
}

// Deployment is an example of a mesh: its configuration files and its workers.
type Deployment struct {
	Name   string
	Bundle site.Bundle
	Groups []Group
}

// Names returns the names of the deployments.
func Names() []string { return []string{"trentside", "thanh-hoa"} }

// Load returns the deployment of that name, or an error if there is none.
func Load(name string) (Deployment, error) {
	d := Deployment{Name: name}
	switch name {
	case "trentside":
		d.Groups = []Group{{"availability", 3, 9}, {"bookings", 3, 9}, {"riverdesk", 4, 9}}
	case "thanh-hoa":
		d.Groups = []Group{{"gauge-desk", 4, 6}, {"cert-office", 4, 6}, {"lot-ledger", 4, 6}}
	default:
		return d, examplesError.New("unknown deployment %q", name)
	}
	var err error
	d.Bundle.Base, err = readFile(path.Join(name, "base.yaml"))
	if err != nil {
		return d, err
	}
	l, err := files.ReadDir(path.Join(name, "sites"))
	if err != nil {
		return d, examplesError.Wrap(err)
	}
	for _, e := range l {
		f, err := readFile(path.Join(name, "sites", e.Name()))
		if err != nil {
			return d, err
		}
		d.Bundle.Overlays = append(d.Bundle.Overlays, f)
	}
	return d, nil
}

// readFile returns the embedded file at the path p, named by its last element.
func readFile(p string) (site.File, error) {
	b, err := files.ReadFile(p)
	return site.File{Name: path.Base(p), Text: string(b)}, examplesError.Wrap(err)
}
